package lhconf

// DataCentre is what operators declare of a data centre as a whole. One that is not declared
// serves. A name that no backend server has is valid: servers may be declared later.
type DataCentre struct {
	Name string `json:"name"`
	// Evacuated is set while the backend servers of the data centre get no new flows. They
	// keep their open ones.
	Evacuated bool `json:"evacuated,omitempty"`
}

// The states of a data centre as written in configuration files.
const (
	StateServing   = "serving"
	StateEvacuated = "evacuated"
)

var dataCentreFields = []field[DataCentre]{
	choiceField("state", []string{StateServing, StateEvacuated}, []bool{false, true}, func(d *DataCentre) *bool { return &d.Evacuated }).asRequired(),
}

func (v *validator) checkDataCentres(dataCentres []DataCentre) {
	names := make(map[string]bool, len(dataCentres))
	for _, d := range dataCentres {
		v.checkName(sectionRef{dataCentreSection, d.Name}, names[d.Name])
		names[d.Name] = true
	}
}

// State returns the state of the data centre as written in configuration files.
func (d DataCentre) State() string {
	if d.Evacuated {
		return StateEvacuated
	}
	return StateServing
}
