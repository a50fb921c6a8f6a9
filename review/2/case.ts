/** Counts the assignments that were answered as not run and that the replica ran. */
import { notRunStatuses, runExtraAnswers } from "../extra-answers.js";

await runExtraAnswers({
    maximumAttempts: 2,
    rule: "REFUSED",
    seconds: 45,
    describeBreach: ({ sent: { id, status, answeredAt }, runs }) =>
        answeredAt !== undefined && notRunStatuses.includes(status ?? 0) && runs > 0
            ? `${id} was answered ${status} and has run`
            : undefined,
});
