package jobspec

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// Files that people write are read with their defaults, or refused with the line and the field.
func TestReadTakesJobsOrNamesLineAndField(t *testing.T) {
	const job = "class: c\nteam: t\ncpus: 1\nmem_gb: 2\nimage: i\n"
	for name, x := range map[string]struct{ text, want string }{
		"one job, defaults": {job, `[j-1 batch standard 1]`},
		"a list with names": {"jobs:\n- {name: a, class: c, team: t, cpus: 1, mem_gb: 2, image: i, tasks: 3}\n" +
			"- {class: c, team: t, cpus: 1, mem_gb: 2, image: i, shape: group, needs: [a, j-77]}", `[j-1 batch standard 3] [j-2 group standard 1 needs j-1 j-77]`},
		"documents":           {job + "---\n" + job + "id: j-5\npriority: urgent\n", `[j-1 batch standard 1] [j-5 batch urgent 1]`},
		"JSON":                {`{"jobs":[{"class":"c","team":"t","cpus":0.5,"mem_gb":2,"image":"i"}]}`, `[j-1 batch standard 1]`},
		"a field missing":     {"class: c\nteam: t\ncpus: 1\nimage: i\n", `f: line 1: missing property 'mem_gb'`},
		"no such field":       {job + "prio: urgent\n", `f: line 6: prio is no field of a job`},
		"wrong type":          {"jobs:\n- class: c\n  team: t\n  cpus: many\n  mem_gb: 2\n  image: i\n", `f: line 4: cpus: got string, want number`},
		"none of it":          {job + "tasks: 0\n", `f: line 6: tasks: minimum: got 0, want 1`},
		"no such priority":    {job + "priority: high\n", `f: line 6: priority: value must be one of 'critical', 'urgent', 'standard', 'low'`},
		"an id of other form": {job + "id: scan-7\n", `f: line 6: id: 'scan-7' does not match pattern '^j-[0-9]{1,100}$'`},
		"needs a later one":   {job + "needs: [later]\n", `f: line 6: needs: no job further up has the name "later"`},
		"a name twice":        {job + "name: a\n---\n" + job + "name: a\n", `f: line 13: name: "a" is the name of a job further up`},
		"beside jobs":         {"jobs: []\nteam: t\n", `f: line 1: beside jobs there may be nothing else`},
		"empty":               {"# nothing\n", `f: holds no job`},
		"no YAML":             {"class: [", `f: line 1: did not find expected node content`},
		"text alone":          {"hello\n", `f: line 1: neither a job nor a list of jobs`},
		"infinite":            {job + "gpus: .inf\n", `f: line 1: not what JSON could say: json: unsupported value: +Inf`},
	} {
		n := 0
		jobs, err := Read("f", strings.NewReader(x.text), func() string { n++; return fmt.Sprint("j-", n) })
		var got []string
		for _, j := range jobs {
			text := fmt.Sprintf("[%s %s %s %d", j.ID, j.Shape, j.Priority, j.Tasks)
			if len(j.Dependencies) > 0 {
				text += " needs " + strings.Join(j.Dependencies, " ")
			}
			got = append(got, text+"]")
			if raw, err := json.Marshal(j.Job); err != nil || !strings.Contains(string(raw), `"owner":"t"`) {
				t.Errorf("%s: written as %s, %v", name, raw, err)
			}
		}
		text := strings.Join(got, " ")
		if err != nil {
			text = err.Error()
		}
		if text != x.want {
			t.Errorf("%s:\n got %s\nwant %s", name, text, x.want)
		}
	}
}
