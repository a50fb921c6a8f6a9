/** Failure domains and fabric domains: the zones that instances stand in. */

/** A zone whose instances can be cut off together. */
export type FailureDomainId = string;

/** A zone whose instances are joined by a fast fabric; a replica group lies inside one. */
export type FabricDomainId = string;
