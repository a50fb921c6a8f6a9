/** Renders docs/EXPERIMENTS.md and its plots from the journal of runs: `npm run experiments`. */
import { readFileSync, readdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import * as z from "zod";

const journalDirectory = "journal";
const pagePath = "docs/EXPERIMENTS.md";
const plotDirectory = "docs/plots";

const entrySchema = z.object({
    at: z.tuple([z.string()], z.string()),
    argv: z.array(z.string()),
    why: z.string().nullish(),
    site: z.string().nullish(),
    ok: z.boolean(),
    digest: z.string(),
});

/** Result of one day in one run. */
interface PlayedDay {
    readonly at: string;
    readonly site: string;
    readonly day: string;
    readonly worth: number;
    readonly binding: string;
    readonly why: string;
}

/** Matches a row of a digest: day, machines, score, worth, served, refused, failed, weakest part. */
const rowPattern = /^(\S+) +\d+\/\d+ +\S+ +(-?[\d.]+) +[\d.]+ +[\d.]+ +[\d.]+ +(.*)$/;
/** Arguments of runs that cover less than a whole day of the site; these runs are left out. */
const partialArguments = ["--until", "--small", "--no-cpu", "hunt"];

function readDays(file: string): readonly PlayedDay[] {
    const parsed = entrySchema.safeParse(JSON.parse(readFileSync(join(journalDirectory, file), "utf8")));
    if (!parsed.success || !parsed.data.ok || !parsed.data.site) {
        return [];
    }
    const { at, argv, why, site, digest } = parsed.data;
    if (argv.some(argument => partialArguments.includes(argument))) {
        return [];
    }
    return digest.split("\n").flatMap(line => {
        const row = rowPattern.exec(line);
        const isStandard = row !== null && /^(quiet|trouble|scale)-\d$/.test(row[1]!);
        const binding = row?.[3] ?? "";
        return isStandard
            ? [{ at: at[0], site, day: row[1]!, worth: Number(row[2]), binding, why: why ?? "" }]
            : [];
    });
}

const colours = ["#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377"];
const width = 720;
const height = 320;
const margin = 40;

/** Renders an SVG plot of each day's worth over the runs of a site, in order of time. */
function renderPlot(site: string, days: readonly PlayedDay[]): string {
    const runs = [...new Set(days.map(day => day.at))].sort();
    const names = [...new Set(days.map(day => day.day))].sort();
    const left = (at: string): number =>
        margin + ((width - 2 * margin) * runs.indexOf(at)) / Math.max(1, runs.length - 1);
    const top = (worth: number): number => height - margin - (height - 2 * margin) * Math.max(0, worth);
    const lines = names.map((name, index) => {
        const points = days
            .filter(day => day.day === name)
            .sort((one, other) => (one.at < other.at ? -1 : 1));
        const colour = colours[index % colours.length]!;
        const path = points.map(day => `${left(day.at).toFixed(1)},${top(day.worth).toFixed(1)}`).join(" ");
        const dots = points.map(
            day =>
                `<circle cx="${left(day.at).toFixed(1)}" cy="${top(day.worth).toFixed(1)}" r="3" fill="${colour}"/>`,
        );
        const label = `<text x="${margin + 100 * index}" y="${height - 10}" fill="${colour}">${name}</text>`;
        return `<polyline points="${path}" fill="none" stroke="${colour}"/>${dots.join("")}${label}`;
    });
    const grid = [0, 0.25, 0.5, 0.75, 1].map(worth => {
        const y = top(worth).toFixed(1);
        return `<line x1="${margin}" x2="${width - margin}" y1="${y}" y2="${y}" stroke="#ddd"/><text x="4" y="${y}">${worth}</text>`;
    });
    const title = `<text x="${margin}" y="20">Worth per day, ${site}</text>`;
    const body = [title, ...grid, ...lines].join("\n");
    return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">\n${body}\n</svg>\n`;
}

function renderSite(site: string, days: readonly PlayedDay[]): string {
    const rows = days.map(day => {
        const why = day.why.replaceAll("|", "/");
        return `| ${day.at.slice(0, 16)} | ${day.day} | ${day.worth.toFixed(3)} | ${day.binding} | ${why} |`;
    });
    return [
        `## ${site}`,
        "",
        `![Worth per day over the runs](plots/${site}.svg)`,
        "",
        "| played at | day | worth | weakest part, prices | question of the run |",
        "| --- | --- | --- | --- | --- |",
        ...rows,
        "",
    ].join("\n");
}

const files = readdirSync(journalDirectory).filter(file => file.endsWith(".json"));
const played = files.sort().flatMap(readDays);
const sites = [...new Set(played.map(day => day.site))].sort();
const intro = [
    "# Experiments",
    "",
    "Every whole standard day that was played, from journal/, by site: its worth and what bound it. Parts of days, small",
    "twins and hunts are in the journal only. `npm run experiments` renders this page and its plots.",
    "",
];
for (const site of sites) {
    writeFileSync(
        join(plotDirectory, `${site}.svg`),
        renderPlot(
            site,
            played.filter(day => day.site === site),
        ),
    );
}
const sections = sites.map(site =>
    renderSite(
        site,
        played.filter(day => day.site === site),
    ),
);
writeFileSync(pagePath, [...intro, ...sections].join("\n"));
