/** Counts the assignments that the replica ran more than once. */
import { runExtraAnswers } from "../extra-answers.js";

await runExtraAnswers({
    maximumAttempts: 4,
    rule: "TWICE",
    seconds: 90,
    describeBreach: ({ sent: { id, status }, runs }) =>
        runs > 1 ? `${id} ran ${runs} times and was answered ${status}` : undefined,
});
