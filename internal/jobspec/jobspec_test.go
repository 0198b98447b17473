package jobspec

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// A job file is read with the defaults of missing fields, or rejected with the line and the field.
func TestReadParsesJobsOrNamesLineAndField(t *testing.T) {
	const job = "class: c\nteam: t\ncpus: 1\nmem_gb: 2\nimage: i\n"
	for name, x := range map[string]struct{ text, want string }{
		"one job, defaults": {job, `[j-1 batch standard 1]`},
		"a list with names": {"jobs:\n- {name: a, class: c, team: t, cpus: 1, mem_gb: 2, image: i, tasks: 3}\n" +
			"- {class: c, team: t, cpus: 1, mem_gb: 2, image: i, shape: group, needs: [a, j-77]}", `[j-1 batch standard 3] [j-2 group standard 1 needs j-1 j-77]`},
		"documents":          {job + "---\n" + job + "id: j-5\npriority: urgent\n", `[j-1 batch standard 1] [j-5 batch urgent 1]`},
		"JSON":               {`{"jobs":[{"class":"c","team":"t","cpus":0.5,"mem_gb":2,"image":"i"}]}`, `[j-1 batch standard 1]`},
		"missing field":      {"class: c\nteam: t\ncpus: 1\nimage: i\n", `f: line 1: missing property 'mem_gb'`},
		"unknown field":      {job + "prio: urgent\n", `f: line 6: prio is not a field of a job`},
		"wrong type":         {"jobs:\n- class: c\n  team: t\n  cpus: many\n  mem_gb: 2\n  image: i\n", `f: line 4: cpus: got string, want number`},
		"no tasks":           {job + "tasks: 0\n", `f: line 6: tasks: minimum: got 0, want 1`},
		"unknown priority":   {job + "priority: high\n", `f: line 6: priority: value must be one of 'critical', 'urgent', 'standard', 'low'`},
		"malformed id":       {job + "id: scan-7\n", `f: line 6: id: 'scan-7' does not match pattern '^j-[0-9]{1,100}$'`},
		"needs a later job":  {job + "needs: [later]\n", `f: line 6: needs: no earlier job has the name "later"`},
		"duplicate name":     {job + "name: a\n---\n" + job + "name: a\n", `f: line 13: name: "a" is already the name of an earlier job`},
		"fields beside jobs": {"jobs: []\nteam: t\n", `f: line 1: a document with jobs must not have other fields`},
		"empty":              {"# nothing\n", `f: contains no jobs`},
		"invalid YAML":       {"class: [", `f: line 1: did not find expected node content`},
		"plain text":         {"hello\n", `f: line 1: want a job or a list of jobs`},
		"infinite number":    {job + "gpus: .inf\n", `f: line 1: value cannot be represented in JSON: json: unsupported value: +Inf`},
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
				t.Errorf("%s: encoded as %s, %v", name, raw, err)
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
