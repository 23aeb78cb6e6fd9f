/**
 * The program `chalkdale`: the operators' command line.
 */

import { exitCodes } from "@chalkdale/runtime";
import meow from "meow";
import { type CommandContext, writeFailure } from "./command.js";
import { commands } from "./commands.js";

const cli = meow(
    `
  Steers traffic by a tree of settings.

  Usage
${commands.map(({ usage, summary }) => `    $ chalkdale ${usage.padEnd(44)} ${summary}`).join("\n")}

  Options
    --at PATH          node of the tree, such as /services/profil-api/ro-nord
    --platform IP:PORT store of the settings tree
    --peer IP:PORT     address for other boxes of a running box program
    --metrics-port N   port of the boxes' metrics (9464)
    --samples FILE     where samples of metrics are kept between runs
    --objective PART   part of the requests that must be served (0.999)
    --json             output for programs
    --all              a line for each box, however many
    --dry-run          show what would be done, and do nothing
    --author NAME      who makes the edit (default: the user's name)
    --help, --version

  Exit codes
    0 success, 1 failure, 2 wrong command line, 3 settings refused,
    4 platform or box not reached, 5 the edit clashes with another operator's
`,
    {
        importMeta: import.meta,
        pkg: { name: "chalkdale", version: "0.1.0" },
        version: "0.1.0",
        allowUnknownFlags: false,
        flags: {
            at: { type: "string" },
            platform: { type: "string" },
            json: { type: "boolean", default: false },
            all: { type: "boolean", default: false },
            dryRun: { type: "boolean", default: false },
            author: { type: "string" },
            peer: { type: "string" },
            metricsPort: { type: "number", default: 9464 },
            samples: { type: "string" },
            objective: { type: "number", default: 0.999 },
        },
    },
);

const context: CommandContext = {
    flags: cli.flags,
    write: text => process.stdout.write(`${text}\n`),
    writeError: text => process.stderr.write(`${text}\n`),
    signal: AbortSignal.timeout(600_000),
};

/** The command whose words begin the input; longer names first. */
const command = commands
    .filter(({ words }) => words.every((word, index) => cli.input[index] === word))
    .sort((a, b) => b.words.length - a.words.length)[0];

if (command === undefined) {
    context.writeError(`chalkdale: unknown command: ${cli.input.join(" ") || "(none)"}; see chalkdale --help`);
    process.exit(exitCodes.usage);
}

const outcome = await command.run(cli.input.slice(command.words.length), context).catch(error =>
    writeFailure(context, error)
);
process.exit(outcome);
