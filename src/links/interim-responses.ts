/** Limits the interim responses (status 1xx) to a request, of which a server may send any number before the final one. */
import type { ClientRequest } from "node:http";

const maximumInterimResponses = 32;

/** Destroys the request with an error when the server has sent too many interim responses. */
export function limitInterimResponses(request: ClientRequest): void {
    let count = 0;
    request.on("information", () => {
        count += 1;
        if (count > maximumInterimResponses) {
            request.destroy(
                new Error(`the server sent more than ${maximumInterimResponses} interim responses`),
            );
        }
    });
}
