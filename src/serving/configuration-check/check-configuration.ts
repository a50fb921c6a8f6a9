/**
 * Checks a configuration before it is sent: errors, entries that no request can match, limits that contradict each other,
 * and what it changes. Needs no connection to the store.
 */
import type { ServingConfiguration } from "../serving-configuration.js";
import { checkRoutes } from "./check-routes.js";
import { checkCallerLimits, checkServices, checkWorkspaces } from "./check-services.js";
import type { Difference } from "./compare-configurations.js";
import { checkVersion, compareConfigurations } from "./compare-configurations.js";
import type { Finding } from "./findings.js";

export interface ConfigurationReport {
    readonly findings: readonly Finding[];
    /** Differences from the configuration in force; undefined if none was given. */
    readonly differences: readonly Difference[] | undefined;
}

/** `inForce`: the configuration to compare with, if any. */
export function checkConfiguration(
    configuration: ServingConfiguration,
    inForce?: ServingConfiguration,
): ConfigurationReport {
    return {
        findings: [
            ...(inForce === undefined ? [] : checkVersion(inForce, configuration)),
            ...checkRoutes(configuration),
            ...checkServices(configuration),
            ...checkWorkspaces(configuration),
            ...checkCallerLimits(configuration),
        ],
        differences: inForce === undefined ? undefined : compareConfigurations(inForce, configuration),
    };
}

export function hasErrors({ findings }: ConfigurationReport): boolean {
    return findings.some(({ severity }) => severity === "error");
}

/** Formats a report as one line per finding and difference. */
export function formatReport({ findings, differences }: ConfigurationReport): readonly string[] {
    return [
        ...findings.map(
            ({ severity, kind, path, message }) => `${severity} (${kind}) ${path.join(".")}: ${message}`,
        ),
        ...(differences ?? []).map(({ change, path, before, after }) =>
            before === undefined
                ? `${change} ${path.join(".")}`
                : `${change} ${path.join(".")}: ${before} to ${after}`,
        ),
    ];
}
