/** Checks the routes of a configuration: what they refer to, whether requests can match them, and their limits. */
import type { Route, ServingConfiguration } from "../serving-configuration.js";
import type { Finding } from "./findings.js";
import { findRepeated, reporter } from "./findings.js";

const reportInvalid = reporter("error", "invalid");
const reportUnreachable = reporter("warning", "unreachable");
const reportContradiction = reporter("warning", "contradiction");

export function checkRoutes(configuration: ServingConfiguration): readonly Finding[] {
    const { routes } = configuration;
    const repeatedNames = findRepeated(routes, ({ name }) => name).map(({ name }) =>
        reportInvalid(["routes", name], "another route has the same name"),
    );
    const repeatedPrefixes = findRepeated(routes, ({ host, prefix }) => `${host} ${prefix}`).map(
        ({ name, host, prefix }) =>
            reportUnreachable(
                ["routes", name],
                `an earlier route has the host "${host}" and the prefix "${prefix}", so no request takes this one`,
            ),
    );
    return [
        ...repeatedNames,
        ...repeatedPrefixes,
        ...routes.flatMap(route => [
            ...checkPrefix(route),
            ...checkTargets(route, configuration),
            ...checkCredentials(route, configuration),
            ...checkLimits(route),
        ]),
    ];
}

function checkPrefix({ name, prefix, host }: Route): readonly Finding[] {
    const isPath = prefix.startsWith("/") && prefix.endsWith("/");
    return [
        ...(isPath
            ? []
            : [
                  reportInvalid(
                      ["routes", name, "prefix"],
                      `"${prefix}" does not begin and end with a slash; requests for parts of a name could match`,
                  ),
              ]),
        ...(host === "" ? [reportUnreachable(["routes", name, "host"], "no request has an empty host")] : []),
    ];
}

function checkTargets({ name, targets }: Route, { services }: ServingConfiguration): readonly Finding[] {
    const path = ["routes", name, "targets"];
    const known = new Set(services.map(service => service.name));
    const unknown = targets
        .filter(({ service }) => !known.has(service))
        .map(({ service }) => reportInvalid([...path, service], "no service has this name"));
    const negative = targets
        .filter(({ weight }) => weight < 0)
        .map(({ service, weight }) => reportInvalid([...path, service], `the weight ${weight} is negative`));
    const idle = targets
        .filter(({ weight }) => weight === 0)
        .map(({ service }) =>
            reportUnreachable([...path, service], "its weight is 0, so it gets no request"),
        );
    const isWithoutTarget = targets.every(({ weight }) => weight <= 0);
    return [
        ...unknown,
        ...negative,
        ...idle,
        ...(isWithoutTarget ? [reportInvalid(path, "no service gets the requests of this route")] : []),
    ];
}

function checkCredentials(
    { name, allowsAnonymous }: Route,
    { workspaces }: ServingConfiguration,
): readonly Finding[] {
    const hasCallers =
        workspaces === undefined ||
        allowsAnonymous ||
        workspaces.some(({ credentials }) => credentials.length > 0);
    return hasCallers
        ? []
        : [reportUnreachable(["routes", name], "it needs a credential, and no workspace has one")];
}

function checkLimits(route: Route): readonly Finding[] {
    const { name, timeoutMilliseconds, objectiveMilliseconds, maximumAttempts } = route;
    const path = ["routes", name];
    const findings: Finding[] = [];
    if (maximumAttempts < 1) {
        findings.push(
            reportInvalid([...path, "maximumAttempts"], `${maximumAttempts} attempts serve no request`),
        );
    }
    if (timeoutMilliseconds <= 0) {
        findings.push(reportInvalid([...path, "timeoutMilliseconds"], "every request has timed out"));
    } else if (timeoutMilliseconds < objectiveMilliseconds) {
        findings.push(
            reportContradiction(
                [...path, "timeoutMilliseconds"],
                `the time-out of ${timeoutMilliseconds} ms is shorter than the objective of ${objectiveMilliseconds} ms`,
            ),
        );
    }
    if (route.isResumable && route.repeatability !== "stream") {
        findings.push(
            reportContradiction([...path, "isResumable"], "only streams can be resumed; this route has none"),
        );
    }
    return findings;
}
