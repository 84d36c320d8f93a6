package id

// Team names a customer's team, as written in the rules file.
type Team string

// Pool names a pool of instances, as written in the rules file.
type Pool string

// Queue names a queue that callers submit work to.
type Queue string

// Instance names one worker of the platform.
type Instance string

// Entry names one entry instance of this system, as written in its settings.
type Entry string

// DataCentre names one data centre of the platform.
type DataCentre string

// Rack names one rack inside a data centre.
type Rack string

// Member names one incarnation of an entry instance: a restarted process is a new member.
type Member string
