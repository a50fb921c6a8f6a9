/** Checks the services, workspaces and caller limits of a configuration. */
import type { EngineProfile } from "../engine-model.js";
import type { ServiceProfile, ServingConfiguration } from "../serving-configuration.js";
import type { Finding } from "./findings.js";
import { findRepeated, reporter } from "./findings.js";

/** Deviation of the sum of the models' shares from 1 that rounding explains. */
const shareTolerance = 0.01;

const reportInvalid = reporter("error", "invalid");
const reportUnreachable = reporter("warning", "unreachable");
const reportContradiction = reporter("warning", "contradiction");

export function checkServices({ services, routes }: ServingConfiguration): readonly Finding[] {
    const used = new Set(
        routes.flatMap(({ targets }) =>
            targets.filter(({ weight }) => weight > 0).map(({ service }) => service),
        ),
    );
    return [
        ...findRepeated(services, ({ name }) => name).map(({ name }) =>
            reportInvalid(["services", name], "another service has the same name"),
        ),
        ...services
            .filter(({ name }) => !used.has(name))
            .map(({ name }) => reportUnreachable(["services", name], "no route sends requests to it")),
        ...services.flatMap(checkEngine),
    ];
}

function checkEngine({ name, engine }: ServiceProfile): readonly Finding[] {
    if (engine === undefined) {
        return [];
    }
    const path = ["services", name, "engine"];
    return [
        ...findRepeated(engine.models, model => model.name).map(model =>
            reportInvalid([...path, "models", model.name], "another model has the same name"),
        ),
        ...checkModels(engine, path),
        ...(engine.slots < 1 ? [reportInvalid([...path, "slots"], "a group runs no request")] : []),
        ...(engine.loadsPerSecond <= 0
            ? [reportInvalid([...path, "loadsPerSecond"], "no weights can be loaded, so no group is formed")]
            : []),
    ];
}

function checkModels({ models }: EngineProfile, path: readonly string[]): readonly Finding[] {
    const sizes = models
        .filter(({ size }) => !Number.isInteger(size) || size < 1)
        .map(({ name, size }) =>
            reportInvalid([...path, "models", name, "size"], `a group cannot have ${size} instances`),
        );
    const total = models.reduce((sum, { share }) => sum + share, 0);
    const isUneven = models.length > 0 && Math.abs(total - 1) > shareTolerance;
    return [
        ...sizes,
        ...(models.length === 0
            ? [reportUnreachable(path, "it has no model, so no request can be served")]
            : []),
        ...(isUneven
            ? [reportContradiction([...path, "models"], `the shares of the models add up to ${total}, not 1`)]
            : []),
    ];
}

export function checkWorkspaces({ workspaces = [] }: ServingConfiguration): readonly Finding[] {
    const credentials = workspaces.flatMap(({ name, credentials: own }) =>
        own.map(credential => ({ name, credential })),
    );
    return [
        ...findRepeated(workspaces, ({ name }) => name).map(({ name }) =>
            reportInvalid(["workspaces", name], "another workspace has the same name"),
        ),
        // Credentials are secrets, so findings name only their workspaces.
        ...findRepeated(credentials, ({ credential }) => credential).map(({ name }) =>
            reportInvalid(["workspaces", name, "credentials"], "a credential is listed a second time"),
        ),
        ...workspaces
            .filter(workspace => workspace.credentials.length === 0)
            .map(({ name }) => reportUnreachable(["workspaces", name], "it has no credential")),
    ];
}

export function checkCallerLimits({ limits, routes }: ServingConfiguration): readonly Finding[] {
    const path = ["limits"];
    const longestTimeout = Math.max(0, ...routes.map(({ timeoutMilliseconds }) => timeoutMilliseconds));
    const findings: Finding[] = [];
    for (const [name, value] of Object.entries(limits)) {
        if (value <= 0) {
            findings.push(reportInvalid([...path, name], `with ${value}, no request is accepted`));
        }
    }
    if (routes.length > 0 && limits.headerMilliseconds > longestTimeout) {
        findings.push(
            reportContradiction(
                [...path, "headerMilliseconds"],
                `a caller may take ${limits.headerMilliseconds} ms for a header, longer than the time-out of any route`,
            ),
        );
    }
    return findings;
}
