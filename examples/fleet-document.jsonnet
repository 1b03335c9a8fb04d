// Settings and lists of a whole fleet: what `hoptiller settings put` takes. The classes are those of derby.jsonnet.
local derby = import 'derby.jsonnet';

{
  form: 1,
  kinds: derby.kinds,
  zones: derby.zones,
  tenants: derby.tenants,
  // A class is named by its key here.
  classes: { [c.name]: c { name:: c.name } for c in derby.classes },
  default_class: derby.default_class,
  engines: { max_attempts: 3, probes: true },
  rules: derby.rules,
}
