package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode sets out, a pointer to a struct, from the document. Fields that the
// document does not give keep their value. Unknown and repeated fields, null
// and values of the wrong type become problems.
func (d *Document) Decode(out any) {
	d.decode(d.root, "", reflect.ValueOf(out).Elem())
}

func (d *Document) decode(v hujson.Value, path string, out reflect.Value) {
	switch out.Kind() {
	case reflect.Pointer:
		if out.IsNil() {
			out.Set(reflect.New(out.Type().Elem()))
		}
		d.decode(v, path, out.Elem())
	case reflect.Struct:
		d.decodeObject(v, path, out)
	case reflect.Slice:
		d.decodeArray(v, path, out)
	default:
		d.decodeLiteral(v, path, out)
	}
}

func (d *Document) decodeObject(v hujson.Value, path string, out reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.mismatch(v, path, "must be an object")
		return
	}
	fields, names := fieldsOf(out)
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := memberName(m)
		at := join(path, name)
		field, known := fields[name]
		switch {
		case !known:
			d.add(m.Name.StartOffset, at, "", "is no known field; known here: "+strings.Join(names, ", "))
		case seen[name]:
			d.add(m.Name.StartOffset, at, "", "is given twice; must be given once")
		default:
			seen[name] = true
			d.decode(m.Value, at, field)
		}
	}
}

func (d *Document) decodeArray(v hujson.Value, path string, out reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.mismatch(v, path, "must be an array")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements)))
	for i, el := range arr.Elements {
		d.decode(el, fmt.Sprintf("%s[%d]", path, i), out.Index(i))
	}
}

func (d *Document) decodeLiteral(v hujson.Value, path string, out reflect.Value) {
	want := wanted(out.Kind())
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() == 'n' {
		d.mismatch(v, path, want)
		return
	}
	if err := json.Unmarshal(lit, out.Addr().Interface()); err != nil {
		d.mismatch(v, path, want)
	}
}

func (d *Document) mismatch(v hujson.Value, path, want string) {
	text := string(d.data[v.StartOffset:v.EndOffset])
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes] + "..."
	}
	text = strings.Join(strings.Fields(text), " ")
	d.add(v.StartOffset, path, text, want)
}

func wanted(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "must be a string"
	case reflect.Bool:
		return "must be true or false"
	case reflect.Float64:
		return "must be a number"
	default:
		return "must be a whole number"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldsOf returns the fields of a struct by their names in JSON.
func fieldsOf(v reflect.Value) (map[string]reflect.Value, []string) {
	fields := map[string]reflect.Value{}
	var names []string
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields[name] = v.Field(i)
		names = append(names, name)
	}
	slices.Sort(names)
	return fields, names
}
