package lhconf

// Difference is a value in which two configurations differ. Before or After is nil if the key
// is absent there.
type Difference struct {
	// Section is the kind and name of the section, such as "server cutdesk-01".
	Section string       `json:"section"`
	Key     string       `json:"key"`
	Before  *MergedValue `json:"before,omitempty"`
	After   *MergedValue `json:"after,omitempty"`
}

// Differences returns the values in which two configurations differ: those that were changed or
// added in the order of after, then those that were removed in the order of before.
func Differences(before, after Origins) []Difference {
	type name struct{ section, key string }
	earlier := make(map[name]*MergedValue, len(before))
	for i := range before {
		earlier[name{before[i].Section, before[i].Key}] = &before[i]
	}
	var all []Difference
	for i := range after {
		v := &after[i]
		key := name{v.Section, v.Key}
		old := earlier[key]
		delete(earlier, key)
		if old == nil || old.Value != v.Value {
			all = append(all, Difference{Section: v.Section, Key: v.Key, Before: old, After: v})
		}
	}
	for i := range before {
		v := &before[i]
		if earlier[name{v.Section, v.Key}] != nil {
			all = append(all, Difference{Section: v.Section, Key: v.Key, Before: v})
		}
	}
	return all
}
