/** The library surface of chervilrouter's decisions, free of input, output and clocks. */
export * as endpoints from "./endpoints.js";
export * as errors from "./errors.js";
export * as events from "./events.js";
export * as failureDomains from "./failure-domains.js";
export * as hashes from "./hashes.js";
export * as hybridTimes from "./hybrid-times.js";
export * as instances from "./instances.js";
export * as randomNumbers from "./random-numbers.js";
export * as replicaGroups from "./replica-groups.js";
export * as requests from "./requests.js";
export * as teams from "./teams.js";
export * as timelines from "./timelines.js";
