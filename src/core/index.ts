/** The library surface of chervilrouter's decisions, free of input, output and clocks. */
export * as admissions from "./admissions.js";
export * as credits from "./credits.js";
export * as endpoints from "./endpoints.js";
export * as errors from "./errors.js";
export * as events from "./events.js";
export * as failureDomains from "./failure-domains.js";
export * as fairQueues from "./fair-queues.js";
export * as hashes from "./hashes.js";
export * as instances from "./instances.js";
export * as prefixBlocks from "./prefix-blocks.js";
export * as randomNumbers from "./random-numbers.js";
export * as replicaGroups from "./replica-groups.js";
export * as requests from "./requests.js";
export * as routePolicies from "./route-policies.js";
export * as routes from "./routes.js";
export * as teams from "./teams.js";
export * as usages from "./usages.js";
