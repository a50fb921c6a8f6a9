import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import test from "ava";
import { diffConfigurationTree, readConfigurationTree } from "../configuration-tree.js";

function withDirectory(files: Readonly<Record<string, string>>, use: (directory: string) => void): void {
    const directory = mkdtempSync(join(tmpdir(), "chervil-tree-"));
    for (const [file, text] of Object.entries(files)) {
        mkdirSync(dirname(join(directory, file)), { recursive: true });
        writeFileSync(join(directory, file), text);
    }
    use(directory);
    rmSync(directory, { recursive: true });
}

test("reports every invalid file of a directory in one fault", t => {
    const files = { "teams/a/share.json": "-1", "teams/a/unknown.json": "1", "teams/a/rank.json": "{" };
    withDirectory(files, directory => {
        const tree = readConfigurationTree(directory);
        t.false(tree.success);
        if (!tree.success) {
            t.true(
                ["share", "unknown", "rank"].every(name =>
                    tree.fault.message.includes(`config/teams/a/${name}`),
                ),
            );
        }
    });
});

test("changes only the subtrees for which the directory has files", t => {
    withDirectory({ "teams/a/share.json": "2\n", "teams/a/rank.json": "1" }, directory => {
        const tree = readConfigurationTree(directory);
        t.true(tree.success);
        const present = [
            { key: "config/teams/a/rank", value: "1", modRevision: 3 },
            { key: "config/teams/a/models", value: "[]", modRevision: 4 },
            { key: "config/teams/b/share", value: "1", modRevision: 5 },
            { key: "config/models/m", value: "{}", modRevision: 6 },
        ];
        const changes = tree.success ? diffConfigurationTree(tree.data, present) : [];
        t.deepEqual(
            changes.map(change => [change.kind, change.key, change.expectedRevision]),
            [
                ["add", "config/teams/a/share", 0],
                ["remove", "config/teams/a/models", 4],
            ],
        );
    });
});
