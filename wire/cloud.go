package wire

// MachineType is a machine type that the cloud rents out.
type MachineType struct {
	Name      MachineTypeName `json:"sku"`
	CPUs      float64         `json:"cores"`
	GPUs      float64         `json:"accelerators"`
	MemoryGB  float64         `json:"ram_gb"`
	CacheGB   float64         `json:"local_gb"`
	FetchGBps float64         `json:"fetch_gb_per_s"`
	Price     float64         `json:"price"`
	SpotPrice float64         `json:"market_price"`
	Boot      Seconds         `json:"startup_s"`
	Zones     []Zone          `json:"yards"`
}

// MachineTypeList is the cloud's list of the machine types on offer.
type MachineTypeList struct {
	Types []MachineType `json:"builds"`
}

// ScaleOutID identifies a scale-out request. IDs are never reused.
type ScaleOutID string

// ScaleOutRequest asks the cloud to rent out machines of one type in one zone.
type ScaleOutRequest struct {
	Request ScaleOutID      `json:"hire"`
	Type    MachineTypeName `json:"build"`
	Zone    Zone            `json:"yard"`
	Spot    bool            `json:"loaners"`
	Count   int             `json:"number"`
}

// MachineIDList is a list of machines: the response to a scale-out and the body of a scale-in.
type MachineIDList struct {
	Names []MachineID `json:"millstones"`
}

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// The states of listed machines.
const (
	MachineBooting MachineState = "starting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed"
)

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	ID    MachineID       `json:"id"`
	Addr  string          `json:"endpoint"`
	Type  MachineTypeName `json:"build"`
	Zone  Zone            `json:"yard"`
	Spot  bool            `json:"loaners"`
	State MachineState    `json:"status"`
	Age   Seconds         `json:"age_s"`
}

// MachineList is a page of the cloud's list of machines.
type MachineList struct {
	Machines []ListedMachine `json:"millstones"`
	More     bool            `json:"has_next"`
}
