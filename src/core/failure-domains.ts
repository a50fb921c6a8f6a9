/** Failure domains and fabric domains: the zones that instances belong to. */

/** A zone whose instances can become unreachable together. */
export type FailureDomainId = string;

/** A zone whose instances are connected by a fast fabric; a replica group never spans two of them. */
export type FabricDomainId = string;
