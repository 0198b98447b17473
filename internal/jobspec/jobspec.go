// Package jobspec reads job files in YAML or JSON: a single job, a list of jobs under "jobs", or several documents of
// either. Errors name the line and the field.
package jobspec

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"drumpick/client"
	"drumpick/internal/jsoncodec"

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
	compiler := jsonschema.NewCompiler()
	if err == nil {
		err = compiler.AddResource("job.json", doc)
	}
	var compiled *jsonschema.Schema
	if err == nil {
		compiled, err = compiler.Compile("job.json")
	}
	if err != nil {
		panic(fmt.Sprintf("invalid job schema: %v", err))
	}
	return compiled
})

// fileJob is a job as written in a file. Resources are per task, durations in seconds.
type fileJob struct {
	ID           string   `yaml:"id"`
	Name         string   `yaml:"name"` // later jobs of the file can refer to it in needs
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

// NamedJob is a job with its name in the file.
type NamedJob struct {
	Name string // "" if the file gives none
	client.Job
}

// Read reads all jobs of a file. newID returns an ID for a job without one. A job can name earlier jobs of the file as
// dependencies.
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
		return nil, fmt.Errorf("%s: contains no jobs", file)
	}
	return jobs, nil
}

// jobNodes returns the nodes of the jobs in a document.
func jobNodes(node *yaml.Node) ([]*yaml.Node, error) {
	list := node
	if node.Kind == yaml.MappingNode {
		if list = fieldOf(node, "jobs"); list == nil {
			return []*yaml.Node{node}, nil
		}
		if len(node.Content) != 2 {
			return nil, fmt.Errorf("line %d: a document with jobs must not have other fields", node.Line)
		}
	}
	if list.Kind != yaml.SequenceNode {
		return nil, fmt.Errorf("line %d: want a job or a list of jobs", list.Line)
	}
	return list.Content, nil
}

// fieldOf returns the value of a mapping's field, or nil if there is none.
func fieldOf(mapping *yaml.Node, name string) *yaml.Node {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == name {
			return mapping.Content[i+1]
		}
	}
	return nil
}

// readJob reads one job. ids maps the names of earlier jobs to their IDs; readJob adds this job's name.
func readJob(node *yaml.Node, newID func() string, ids map[string]string) (NamedJob, error) {
	if err := validate(node); err != nil {
		return NamedJob{}, err
	}
	j := fileJob{Shape: client.Batch, Priority: client.Standard, Tasks: 1}
	if err := node.Decode(&j); err != nil {
		return NamedJob{}, fmt.Errorf("line %d: %w", node.Line, err)
	}
	if j.ID == "" {
		j.ID = newID()
	}
	dependencies, err := resolveDependencies(node, j, ids)
	if err != nil {
		return NamedJob{}, err
	}
	if j.Name != "" {
		if _, duplicate := ids[j.Name]; duplicate {
			return NamedJob{}, fmt.Errorf("line %d: name: %q is already the name of an earlier job", fieldOf(node, "name").Line, j.Name)
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

// idPrefix is the prefix of job IDs.
const idPrefix = "j-"

// resolveDependencies returns the IDs of a job's dependencies, which the file gives by name or ID.
func resolveDependencies(node *yaml.Node, j fileJob, ids map[string]string) ([]string, error) {
	var dependencies []string
	for _, name := range j.Dependencies {
		id, ok := ids[name]
		if !ok {
			if !strings.HasPrefix(name, idPrefix) {
				return nil, fmt.Errorf("line %d: needs: no earlier job has the name %q", fieldOf(node, "needs").Line, name)
			}
			id = name
		}
		dependencies = append(dependencies, id)
	}
	return dependencies, nil
}

var englishPrinter = message.NewPrinter(language.English)

// validate checks a job against the schema. Errors name the line and the field.
func validate(node *yaml.Node) error {
	var decoded any
	if err := node.Decode(&decoded); err != nil {
		return fmt.Errorf("line %d: %w", node.Line, err)
	}
	// The schema library accepts only values decoded from JSON.
	raw, err := jsoncodec.Marshal(decoded)
	if err != nil {
		return fmt.Errorf("line %d: value cannot be represented in JSON: %w", node.Line, err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("line %d: %w", node.Line, err)
	}
	var invalid *jsonschema.ValidationError
	if err := schema().Validate(value); !errors.As(err, &invalid) {
		return err
	}
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	return validationError(node, invalid)
}

// validationError returns an error with the line and field that violate the schema, and the reason.
func validationError(job *yaml.Node, invalid *jsonschema.ValidationError) error {
	node, field := job, ""
	for _, key := range invalid.InstanceLocation {
		if next := fieldOf(node, key); node.Kind == yaml.MappingNode && next != nil {
			node, field = next, key
		}
	}
	if field != "" {
		field += ": "
	}
	if extra, ok := invalid.ErrorKind.(*kind.AdditionalProperties); ok {
		if f := fieldOf(node, extra.Properties[0]); f != nil {
			node = f
		}
		return fmt.Errorf("line %d: %s is not a field of a job", node.Line, extra.Properties[0])
	}
	return fmt.Errorf("line %d: %s%s", node.Line, field, invalid.ErrorKind.LocalizedString(englishPrinter))
}
