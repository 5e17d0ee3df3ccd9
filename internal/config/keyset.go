package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// presentKey is a key that a platform's file gives a value.
type presentKey struct {
	path  string // from the top of the file, or from the class for a key of a class
	class string // name of the class; anyClass: every class of the file has the key; empty: no key of a class
}

// anyClass stands for each class of a file. No class can have it as a name, see Config.readSettings.
const anyClass = " "

// String returns the key as error messages name it.
func (k presentKey) String() string {
	switch {
	case k.class == "":
		return k.path
	case k.class == anyClass:
		return "settings.grades[]." + k.path
	case strings.HasPrefix(k.path, "extra."):
		return fmt.Sprintf("settings.%s, item of class %s", k.path, k.class)
	}
	return fmt.Sprintf("settings.grades[] %s.%s", k.class, k.path)
}

// keySet is the set of the keys that a platform's file gives a value and the front reads.
type keySet map[presentKey]struct{}

// Keys outside the settings that count. The others, seed and known, are used only at a start.
var countedKeys = []string{"name", "listen", "ops", "limits.memory_mb", "limits.sockets", "board",
	"flow_bytes_per_s", "link_bytes_per_s"}

// listsByClass are keys of the settings whose lists have an item for each class.
var listsByClass = []string{"extra.class-write", "extra.in-parts", "extra.max-age-us", "extra.usable-after-us", "extra.old-copy-worth"}

// optionalClassKeys may be absent from any class.
var optionalClassKeys = []string{"aim-stretch", "memory-span-us", "dedup-scope"}

// newKeySet returns the keys of a file whose settings reader has read, for classes with
// these names.
func newKeySet(data []byte, reader *settingsReader, classes []string) (keySet, error) {
	var file map[string]any
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	delete(file, "settings")
	values, keys := map[string]string{}, keySet{}
	flatten(values, "", file)
	for _, key := range countedKeys {
		if values[key] != "" {
			keys[presentKey{path: key}] = struct{}{}
		}
	}
	for key := range reader.used {
		if reader.values[key] != "" && !strings.HasPrefix(key, "grades.") {
			keys[presentKey{path: "settings." + key}] = struct{}{}
		}
	}
	keys.addClasses(reader, classes)
	return keys, nil
}

// addClasses adds the keys of the classes with these names, and their items of lists.
func (s keySet) addClasses(reader *settingsReader, classes []string) {
	holders := map[string]int{} // number of classes that have a key
	for i, class := range classes {
		for used := range reader.used {
			key, ok := strings.CutPrefix(used, classPrefix(i))
			if ok && reader.values[used] != "" && !slices.Contains(optionalClassKeys, key) {
				s[presentKey{path: key, class: class}] = struct{}{}
				holders[key]++
			}
		}
		for _, list := range listsByClass {
			if i < len(reader.list(list)) {
				s[presentKey{path: list, class: class}] = struct{}{}
			}
		}
	}
	for key, n := range holders {
		if n == len(classes) {
			s[presentKey{path: key, class: anyClass}] = struct{}{}
		}
	}
}

// checkReplaces returns an error that names the keys of current that s lacks, or nil. A
// class that is gone takes its keys with it.
func (s keySet) checkReplaces(current keySet) error {
	var missing []presentKey
	for key := range current {
		if _, ok := s[key]; ok || s.dropsClass(key.class) {
			continue
		}
		missing = append(missing, key)
	}
	if len(missing) == 0 {
		return nil
	}
	slices.SortFunc(missing, func(a, b presentKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.path, b.path))
	})
	var names []string
	for _, key := range missing {
		names = append(names, key.String())
	}
	return fmt.Errorf("%s: missing, but the file in force has it", strings.Join(names, ", "))
}

// dropsClass reports whether class names a class that s does not have.
func (s keySet) dropsClass(class string) bool {
	if class == "" || class == anyClass {
		return false
	}
	_, ok := s[presentKey{path: "name", class: class}]
	return !ok
}
