// Mocha's spec reporter with a plain closing line for CI.
const Mocha = require("mocha");

module.exports = class PlainReporter extends Mocha.reporters.Spec {
    constructor(runner, options) {
        super(runner, options);
        runner.once("end", () => {
            const { passes, failures } = runner.stats;
            process.stdout.write(`${passes} passed, ${failures} failed\n`);
        });
    }
};
