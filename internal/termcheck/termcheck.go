// Package termcheck keeps words that a newcomer would not understand out of Go identifiers: the themed words of the
// protocol, which are allowed only in struct tags and string literals, and metaphors of the project's earlier style.
package termcheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"unicode"
)

// Finding is an identifier that contains a banned word.
type Finding struct {
	File       string // relative to the checked directory, with slashes
	Line       int
	Identifier string
	Word       string // the banned word
	UseInstead string
}

// String formats a finding like a compiler error.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: identifier %s contains %q: use %s", f.File, f.Line, f.Identifier, f.Word, f.UseInstead)
}

// Checker finds banned words in the identifiers that Go files declare.
type Checker struct {
	Banned     []BannedWord
	Exceptions []Exception
}

// BannedWord is a word, or a sequence of words, that identifiers must not contain.
type BannedWord struct {
	Word       string // lower case; consecutive words of an identifier are separated by a space
	UseInstead string
	FieldsOnly bool // banned only in the names of struct fields; for example tick, because time.Tick is a common Go term
}

// Exception allows a banned word in one package.
type Exception struct {
	Package string // directory of the package, relative to the module's root, with slashes
	Word    string
	Reason  string
}

// Check parses every Go file below root, including tests and generated files, and returns its findings in order of
// files and lines. It skips testdata and hidden directories.
func (c Checker) Check(root string) ([]Finding, error) {
	var findings []Finding
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if name := entry.Name(); path != root && (name == "testdata" || strings.HasPrefix(name, ".")) {
				return filepath.SkipDir
			}
			return nil
		}
		if filepath.Ext(path) != ".go" {
			return nil
		}
		inFile, err := c.checkFile(root, path)
		findings = append(findings, inFile...)
		return err
	})
	return findings, err
}

func (c Checker) checkFile(root, path string) ([]Finding, error) {
	relative, err := filepath.Rel(root, path)
	if err != nil {
		return nil, err
	}
	relative = filepath.ToSlash(relative)
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, fmt.Errorf("parse %s: %w", relative, err)
	}
	var findings []Finding
	for _, identifier := range declarations(file) {
		for _, banned := range c.bannedIn(identifier, filepath.ToSlash(filepath.Dir(relative))) {
			findings = append(findings, Finding{
				File:       relative,
				Line:       fileSet.Position(identifier.Pos()).Line,
				Identifier: identifier.Name,
				Word:       banned.Word,
				UseInstead: banned.UseInstead,
			})
		}
	}
	return findings, nil
}

// bannedIn returns the banned words that a declared identifier contains, without the words that an exception allows in
// its package.
func (c Checker) bannedIn(declared declaration, packageDir string) []BannedWord {
	words := " " + strings.Join(SplitWords(declared.Name), " ") + " "
	var found []BannedWord
	for _, banned := range c.Banned {
		if banned.FieldsOnly && !declared.isField {
			continue
		}
		if strings.Contains(words, " "+banned.Word+" ") && !c.isExcepted(banned.Word, packageDir) {
			found = append(found, banned)
		}
	}
	return found
}

func (c Checker) isExcepted(word, packageDir string) bool {
	return slices.ContainsFunc(c.Exceptions, func(e Exception) bool {
		return e.Word == word && e.Package == packageDir
	})
}

// declaration is an identifier at its declaration.
type declaration struct {
	*ast.Ident
	isField bool // the identifier names a struct field
}

// declarations returns the identifiers that a file declares, in source order. It omits uses of identifiers, because
// each identifier is checked where it is declared, and those of libraries are not checked.
func declarations(file *ast.File) []declaration {
	declared := []declaration{{Ident: file.Name}}
	add := func(expressions ...ast.Expr) {
		for _, expression := range expressions {
			if identifier, ok := expression.(*ast.Ident); ok && identifier != nil {
				declared = append(declared, declaration{Ident: identifier})
			}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.ImportSpec:
			add(n.Name)
		case *ast.FuncDecl:
			addFields(n.Recv, add)
			add(n.Name)
		case *ast.FuncType:
			addFields(n.TypeParams, add)
			addFields(n.Params, add)
			addFields(n.Results, add)
		case *ast.InterfaceType:
			addFields(n.Methods, add)
		case *ast.TypeSpec:
			add(n.Name)
			addFields(n.TypeParams, add)
		case *ast.StructType:
			for _, field := range n.Fields.List {
				for _, name := range field.Names {
					declared = append(declared, declaration{Ident: name, isField: true})
				}
			}
		case *ast.ValueSpec:
			for _, name := range n.Names {
				add(name)
			}
		case *ast.LabeledStmt:
			add(n.Label)
		case *ast.AssignStmt:
			if n.Tok == token.DEFINE {
				add(n.Lhs...)
			}
		case *ast.RangeStmt:
			if n.Tok == token.DEFINE {
				add(n.Key, n.Value)
			}
		}
		return true
	})
	return declared
}

// addFields passes the names in a list of parameters, results, type parameters or methods to add.
func addFields(list *ast.FieldList, add func(...ast.Expr)) {
	if list == nil {
		return
	}
	for _, field := range list.List {
		for _, name := range field.Names {
			add(name)
		}
	}
}

// SplitWords splits an identifier at underscores, digits and changes of case, and returns its words in lower case.
// For example, wasHTTPBaton2 gives was, http, baton.
func SplitWords(identifier string) []string {
	var words []string
	runes := []rune(identifier)
	start := 0
	flush := func(end int) {
		if end > start {
			words = append(words, strings.ToLower(string(runes[start:end])))
		}
	}
	for i, r := range runes {
		switch {
		case !unicode.IsLetter(r):
			flush(i)
			start = i + 1
		case i > start && unicode.IsUpper(r) && startsWord(runes, i):
			flush(i)
			start = i
		}
	}
	flush(len(runes))
	return words
}

// startsWord reports whether the upper-case letter at index i starts a word. It does if it follows a lower-case letter,
// or if it is the last of several upper-case letters before a lower-case one.
func startsWord(runes []rune, i int) bool {
	if !unicode.IsUpper(runes[i-1]) {
		return true
	}
	return i+1 < len(runes) && unicode.IsLower(runes[i+1])
}
