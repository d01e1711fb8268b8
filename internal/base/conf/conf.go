// Package conf reads settings from INI files into structs and checks them.
//
// A settings struct has one field for each section, and each section is a
// struct with one field for each key. The field tag ini gives the name of a key,
// def its default, min, max and oneof its valid values, and doc its description;
// required:"true" makes the key mandatory:
//
//	type Settings struct {
//		Log struct {
//			Timeout time.Duration `ini:"timeout" def:"2s" min:"100ms" max:"60s" doc:"for one request"`
//		} `ini:"log"`
//	}
//
// Every error names the section, key and value, and describes the valid values.
// Unknown sections, unknown keys and keys that are set twice are errors, so a
// misspelt key is never silently ignored. A slice of structs holds a section
// that may occur several times, as "[name ID]". The field with the tag ini:"#id"
// receives the ID.
//
// # Usage
//
//	s, err := conf.Load[Settings]("entry.ini")
//	conf.Print(os.Stdout, s) // effective settings with defaults
package conf

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"lagooncourse/internal/base/fault"
)

// Checker is implemented by settings with constraints across several keys. Parse
// calls Check if every key is valid by itself.
type Checker interface {
	Check() error
}

// Error describes one invalid setting.
type Error struct {
	Section string
	Key     string
	Value   string
	Want    string // what is wrong, such as "must be a number" or "is not a known section"
}

// Error returns the setting, its value and what is wrong with it.
func (e *Error) Error() string {
	return fmt.Sprintf("section [%s], key %q, value %q: %s", e.Section, e.Key, e.Value, e.Want)
}

var durationType = reflect.TypeFor[time.Duration]()

// Load reads settings from the file at path. Its error joins all errors in the
// file.
func Load[T any](path string) (s T, err error) {
	defer fault.Annotate(&err, "settings %q", path)
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return Parse[T](data)
}

// Parse reads settings from the content of a file.
func Parse[T any](data []byte) (s T, err error) {
	// AllowShadows keeps all values of a duplicate key, so that parseKey can report it.
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows: true, AllowDuplicateShadowValues: true, IgnoreInlineComment: false,
		KeyValueDelimiters: "=", SpaceBeforeInlineComment: true,
	}, data)
	if err != nil {
		return s, err
	}
	p := &parser{file: file, knownSections: map[string]bool{ini.DefaultSection: true}}
	p.parseSections(reflect.ValueOf(&s).Elem())
	p.checkDuplicateSections(data)
	p.checkUnknownSections()
	if len(p.errs) == 0 {
		if c, ok := any(s).(Checker); ok {
			p.addError(c.Check())
		}
	}
	return s, errors.Join(p.errs...)
}

type parser struct {
	file          *ini.File
	knownSections map[string]bool // names of the sections that the settings struct has fields for
	errs          []error
}

func (p *parser) addError(err error) {
	if err != nil {
		p.errs = append(p.errs, err)
	}
}

func (p *parser) parseSections(v reflect.Value) {
	t := v.Type()
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("ini")
		if t.Field(i).Type.Kind() == reflect.Slice {
			p.parseRepeated(name, v.Field(i))
			continue
		}
		p.knownSections[name] = true
		p.parseSection(name, v.Field(i))
	}
}

// parseRepeated parses all sections "[name ID]" into the slice v. The field with
// the tag "#id" receives the ID.
func (p *parser) parseRepeated(name string, v reflect.Value) {
	for _, sec := range p.file.Sections() {
		id, ok := strings.CutPrefix(sec.Name(), name+" ")
		if !ok {
			continue
		}
		p.knownSections[sec.Name()] = true
		item := reflect.New(v.Type().Elem()).Elem()
		p.parseSection(sec.Name(), item)
		for i := range item.NumField() {
			if item.Type().Field(i).Tag.Get("ini") == "#id" {
				item.Field(i).SetString(strings.TrimSpace(id))
			}
		}
		v.Set(reflect.Append(v, item))
	}
}

func (p *parser) parseSection(name string, v reflect.Value) {
	sec := p.file.Section(name)
	knownKeys := map[string]bool{}
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		key := f.Tag.Get("ini")
		if key == "#id" {
			continue
		}
		knownKeys[key] = true
		p.parseKey(sec, f, v.Field(i))
	}
	for _, k := range sec.Keys() {
		if !knownKeys[k.Name()] {
			p.addError(&Error{Section: name, Key: k.Name(), Value: k.Value(), Want: "is not a known key; known are " + strings.Join(keyNames(t), ", ")})
		}
	}
}

func keyNames(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if k := t.Field(i).Tag.Get("ini"); k != "#id" {
			keys = append(keys, k)
		}
	}
	return keys
}

func (p *parser) parseKey(sec *ini.Section, f reflect.StructField, v reflect.Value) {
	name := f.Tag.Get("ini")
	text, set := f.Tag.Get("def"), false
	if sec.HasKey(name) {
		k := sec.Key(name)
		if n := len(k.ValueWithShadows()); n > 1 {
			p.addError(&Error{Section: sec.Name(), Key: name, Value: strings.Join(k.ValueWithShadows(), " and "), Want: "is set more than once"})
			return
		}
		text, set = k.Value(), true
	}
	if text == "" {
		if f.Tag.Get("required") == "true" {
			p.addError(&Error{Section: sec.Name(), Key: name, Want: "must be set: " + f.Tag.Get("doc")})
		}
		// An explicit empty value of another type is an empty list or an error.
		if !set || f.Type.Kind() == reflect.String {
			return
		}
	}
	if err := assign(v, text, f.Tag); err != nil {
		p.addError(&Error{Section: sec.Name(), Key: name, Value: text, Want: err.Error()})
	}
}

// assign parses text into v and checks it against the tags min, max and oneof.
func assign(v reflect.Value, text string, tag reflect.StructTag) error {
	if v.Type() == durationType {
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.New(`must be a duration with a unit, such as "250ms" or "3s"`)
		}
		v.SetInt(int64(d))
		return checkRange(tag, d, time.ParseDuration)
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
		return checkOneOf(tag, text)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return errors.New(`must be "true" or "false"`)
		}
		v.SetBool(b)
		return nil
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errors.New("must be a whole number")
		}
		v.SetInt(n)
		return checkRange(tag, n, func(s string) (int64, error) { return strconv.ParseInt(s, 10, 64) })
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return errors.New("must be a number")
		}
		v.SetFloat(n)
		return checkRange(tag, n, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
	case reflect.Slice:
		v.Set(reflect.ValueOf(splitList(text)))
		return nil
	}
	panic("conf: unsupported setting type " + v.Type().String())
}

func splitList(text string) []string {
	list := []string{}
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

func checkOneOf(tag reflect.StructTag, text string) error {
	options := tag.Get("oneof")
	if options == "" {
		return nil
	}
	for _, o := range strings.Split(options, ",") {
		if o == text {
			return nil
		}
	}
	return fmt.Errorf("must be one of %s", options)
}

// checkRange checks n against the tags min and max, which are set together.
func checkRange[N int64 | float64 | time.Duration](tag reflect.StructTag, n N, parse func(string) (N, error)) error {
	low, lowErr := parse(tag.Get("min"))
	high, highErr := parse(tag.Get("max"))
	if lowErr == nil && n < low || highErr == nil && n > high {
		return fmt.Errorf("must lie between %s and %s", tag.Get("min"), tag.Get("max"))
	}
	return nil
}

func (p *parser) checkUnknownSections() {
	for _, sec := range p.file.Sections() {
		if !p.knownSections[sec.Name()] {
			p.addError(&Error{Section: sec.Name(), Want: "is not a known section"})
		}
	}
	for _, k := range p.file.Section(ini.DefaultSection).Keys() {
		p.addError(&Error{Section: "", Key: k.Name(), Value: k.Value(), Want: "appears before the first section"})
	}
}

// checkDuplicateSections reports sections that occur more than once. The INI
// library would merge them.
func (p *parser) checkDuplicateSections(data []byte) {
	seen := map[string]bool{}
	for _, line := range bytes.Split(data, []byte("\n")) {
		s := strings.TrimSpace(string(line))
		if !strings.HasPrefix(s, "[") || !strings.HasSuffix(s, "]") {
			continue
		}
		name := strings.TrimSpace(s[1 : len(s)-1])
		if seen[name] {
			p.addError(&Error{Section: name, Want: "occurs more than once"})
		}
		seen[name] = true
	}
}

// Print writes the settings struct s in INI format.
func Print(w io.Writer, s any) {
	v := reflect.ValueOf(s)
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("ini")
		if v.Field(i).Kind() != reflect.Slice {
			printSection(w, name, v.Field(i))
			continue
		}
		for j := range v.Field(i).Len() {
			item := v.Field(i).Index(j)
			printSection(w, name+" "+sectionID(item), item)
		}
	}
}

func sectionID(v reflect.Value) string {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("ini") == "#id" {
			return v.Field(i).String()
		}
	}
	return ""
}

func printSection(w io.Writer, name string, v reflect.Value) {
	fmt.Fprintf(w, "[%s]\n", name)
	for i := range v.NumField() {
		if key := v.Type().Field(i).Tag.Get("ini"); key != "#id" {
			fmt.Fprintf(w, "%s = %s\n", key, format(v.Field(i)))
		}
	}
	fmt.Fprintln(w)
}

func format(v reflect.Value) string {
	if list, ok := v.Interface().([]string); ok {
		return strings.Join(list, ", ")
	}
	return fmt.Sprint(v.Interface())
}

// Document writes a Markdown table of the keys of each section of the settings
// type T.
func Document[T any](w io.Writer) {
	t := reflect.TypeFor[T]()
	for i := range t.NumField() {
		f := t.Field(i)
		name, sectionType := f.Tag.Get("ini"), f.Type
		if sectionType.Kind() == reflect.Slice {
			name, sectionType = name+" NAME", sectionType.Elem()
		}
		fmt.Fprintf(w, "### [%s]\n\n| key | default | valid | meaning |\n| --- | --- | --- | --- |\n", name)
		for j := range sectionType.NumField() {
			documentKey(w, sectionType.Field(j))
		}
		fmt.Fprintln(w)
	}
}

func documentKey(w io.Writer, f reflect.StructField) {
	key := f.Tag.Get("ini")
	if key == "#id" {
		return
	}
	def, valid := f.Tag.Get("def"), "text"
	switch {
	case f.Tag.Get("oneof") != "":
		valid = "one of " + f.Tag.Get("oneof")
	case f.Tag.Get("min") != "":
		valid = f.Tag.Get("min") + " to " + f.Tag.Get("max")
	case f.Type.Kind() == reflect.Bool:
		valid = "true or false"
	case f.Type.Kind() == reflect.Slice:
		valid = "list, separated by commas"
	}
	if f.Tag.Get("required") == "true" {
		def = "(required)"
	}
	fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", key, def, valid, f.Tag.Get("doc"))
}
