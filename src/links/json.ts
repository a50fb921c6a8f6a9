/** Parsing of untrusted JSON text. */

/** Parses JSON; returns undefined for text that is not valid JSON. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
}
