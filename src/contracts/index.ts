/** The function types between the decisions and the outside. */
export * as clocks from "./clocks.js";
export * as engines from "./engines.js";
export * as keyValueStores from "./key-value-stores.js";
export * as services from "./services.js";
