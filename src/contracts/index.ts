/** Interfaces between the decision logic and external systems: clocks, engines, the key-value store and services. */
export * as clocks from "./clocks.js";
export * as engines from "./engines.js";
export * as keyValueStores from "./key-value-stores.js";
export * as services from "./services.js";
