// Package jobspec reads job specifications that people write, in YAML or JSON: one job, a list under "jobs", or
// several documents of either. Errors name the line and the field.
package jobspec

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"drumpick/client"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
	"gopkg.in/yaml.v3"
)

//go:embed schema.json
var schemaText []byte

var schema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	c := jsonschema.NewCompiler()
	if err == nil {
		err = c.AddResource("job.json", doc)
	}
	var s *jsonschema.Schema
	if err == nil {
		s, err = c.Compile("job.json")
	}
	if err != nil {
		panic(fmt.Sprintf("the schema of a job is broken: %v", err))
	}
	return s
})

// fileJob is a job as its file has it. Amounts are per task, times in seconds.
type fileJob struct {
	ID           string   `yaml:"id"`
	Name         string   `yaml:"name"` // by which other jobs of the file depend on it
	Class        string   `yaml:"class"`
	Team         string   `yaml:"team"`
	Shape        string   `yaml:"shape"`
	Priority     string   `yaml:"priority"`
	Tasks        int      `yaml:"tasks"`
	CPUs         float64  `yaml:"cpus"`
	GPUs         float64  `yaml:"gpus"`
	MemGB        float64  `yaml:"mem_gb"`
	Image        string   `yaml:"image"`
	ImageGB      float64  `yaml:"image_gb"`
	Types        []string `yaml:"types"`
	Zone         *string  `yaml:"zone"`
	OneZone      bool     `yaml:"one_zone"`
	SpreadZones  bool     `yaml:"apart"`
	Spot         bool     `yaml:"spot"`
	EstimateS    float64  `yaml:"estimate_s"`
	CheckpointS  float64  `yaml:"checkpoint_s"`
	SaveS        float64  `yaml:"save_s"`
	DeadlineS    *float64 `yaml:"deadline_s"`
	Dependencies []string `yaml:"needs"`
}

// NamedJob is a job with the name that it has in its file.
type NamedJob struct {
	Name string
	client.Job
}

// Read reads all jobs of a file. newID returns ids for those that have none. Dependencies may be given by the names of
// jobs further up in the file.
func Read(file string, in io.Reader, newID func() string) ([]NamedJob, error) {
	raw, err := io.ReadAll(in)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	var jobs []NamedJob
	ids := map[string]string{} // by name
	docs := yaml.NewDecoder(bytes.NewReader(raw))
	for {
		var doc yaml.Node
		if err := docs.Decode(&doc); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, fmt.Errorf("%s: %s", file, strings.TrimPrefix(err.Error(), "yaml: "))
		}
		if len(doc.Content) == 0 || doc.Content[0].Tag == "!!null" {
			continue
		}
		nodes, err := jobNodes(doc.Content[0])
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		for _, n := range nodes {
			j, err := readJob(n, newID, ids)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", file, err)
			}
			jobs = append(jobs, j)
		}
	}
	if len(jobs) == 0 {
		return nil, fmt.Errorf("%s: holds no job", file)
	}
	return jobs, nil
}

// jobNodes returns the jobs of a document.
func jobNodes(n *yaml.Node) ([]*yaml.Node, error) {
	list := n
	if n.Kind == yaml.MappingNode {
		if list = fieldOf(n, "jobs"); list == nil {
			return []*yaml.Node{n}, nil
		}
		if len(n.Content) != 2 {
			return nil, fmt.Errorf("line %d: beside jobs there may be nothing else", n.Line)
		}
	}
	if list.Kind != yaml.SequenceNode {
		return nil, fmt.Errorf("line %d: neither a job nor a list of jobs", list.Line)
	}
	return list.Content, nil
}

// fieldOf returns the value of a mapping's field; nil: it has none.
func fieldOf(n *yaml.Node, name string) *yaml.Node {
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name {
			return n.Content[i+1]
		}
	}
	return nil
}

// readJob reads one job. ids are those of the named jobs further up, which it adds to.
func readJob(n *yaml.Node, newID func() string, ids map[string]string) (NamedJob, error) {
	if err := validate(n); err != nil {
		return NamedJob{}, err
	}
	j := fileJob{Shape: client.Batch, Priority: client.Standard, Tasks: 1}
	if err := n.Decode(&j); err != nil {
		return NamedJob{}, fmt.Errorf("line %d: %w", n.Line, err)
	}
	if j.ID == "" {
		j.ID = newID()
	}
	dependencies, err := resolveDependencies(n, j, ids)
	if err != nil {
		return NamedJob{}, err
	}
	if j.Name != "" {
		if _, twice := ids[j.Name]; twice {
			return NamedJob{}, fmt.Errorf("line %d: name: %q is the name of a job further up", fieldOf(n, "name").Line, j.Name)
		}
		ids[j.Name] = j.ID
	}
	return NamedJob{j.Name, client.Job{
		ID: j.ID, Class: j.Class, Team: j.Team, Shape: j.Shape, Priority: j.Priority, Tasks: j.Tasks,
		CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB, Image: j.Image, ImageGB: j.ImageGB, Types: j.Types, Zone: j.Zone,
		OneZone: j.OneZone, SpreadZones: j.SpreadZones, Spot: j.Spot, EstimateS: j.EstimateS, CheckpointS: j.CheckpointS,
		SaveS: j.SaveS, DeadlineS: j.DeadlineS, Dependencies: dependencies,
	}}, nil
}

// idPrefix begins the ids of jobs.
const idPrefix = "j-"

// resolveDependencies returns the ids of the jobs that a job depends on, which the file gives by name or id.
func resolveDependencies(n *yaml.Node, j fileJob, ids map[string]string) ([]string, error) {
	var dependencies []string
	for _, name := range j.Dependencies {
		id, ok := ids[name]
		if !ok {
			if !strings.HasPrefix(name, idPrefix) {
				return nil, fmt.Errorf("line %d: needs: no job further up has the name %q", fieldOf(n, "needs").Line, name)
			}
			id = name
		}
		dependencies = append(dependencies, id)
	}
	return dependencies, nil
}

var englishPrinter = message.NewPrinter(language.English)

// validate checks a job by the schema. Errors name the line and the field.
func validate(n *yaml.Node) error {
	var plain any
	if err := n.Decode(&plain); err != nil {
		return fmt.Errorf("line %d: %w", n.Line, err)
	}
	// The schema library knows values as JSON has them.
	raw, err := json.Marshal(plain)
	if err != nil {
		return fmt.Errorf("line %d: not what JSON could say: %w", n.Line, err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("line %d: %w", n.Line, err)
	}
	var invalid *jsonschema.ValidationError
	if err := schema().Validate(value); !errors.As(err, &invalid) {
		return err
	}
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	return validationError(n, invalid)
}

// validationError returns what is wrong with a job, with the line and the field.
func validationError(n *yaml.Node, invalid *jsonschema.ValidationError) error {
	at, where := n, ""
	for _, step := range invalid.InstanceLocation {
		if next := fieldOf(at, step); at.Kind == yaml.MappingNode && next != nil {
			at, where = next, step
		}
	}
	if where != "" {
		where += ": "
	}
	if extra, ok := invalid.ErrorKind.(*kind.AdditionalProperties); ok {
		if f := fieldOf(at, extra.Properties[0]); f != nil {
			at = f
		}
		return fmt.Errorf("line %d: %s is no field of a job", at.Line, extra.Properties[0])
	}
	return fmt.Errorf("line %d: %s%s", at.Line, where, invalid.ErrorKind.LocalizedString(englishPrinter))
}
