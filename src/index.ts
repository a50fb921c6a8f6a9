/** Public API of chervilrouter. */
export * as core from "./core/index.js";
export * as contracts from "./contracts/index.js";
