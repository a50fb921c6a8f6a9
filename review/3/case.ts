/** One replica sends one answer that does not end: the head of a stream and an event whose bytes come in chunks of one byte. */
import { runEndlessAnswer } from "../endless-answers.js";

const bytesAtOnce = 4_096;

await runEndlessAnswer({
    beginning: "d\r\nid: 1\ndata: t\r\n",
    repeated: Buffer.from("1\r\nx\r\n".repeat(bytesAtOnce)),
    isSingle: true,
});
