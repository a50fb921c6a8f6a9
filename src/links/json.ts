/** JSON text from outside. */

/** Parses JSON; undefined for text that is not JSON. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
}
