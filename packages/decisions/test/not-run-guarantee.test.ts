import { backendServerId } from "@chalkdale/kernel";
import { expect } from "chai";
import { decideRefusal, decideStatus } from "../src/refusals/not-run-guarantee.js";
import { isGuaranteeStatus, type RefusalKind, refusals } from "../src/refusals/refusals.js";
import { createSendRecord, type SendRecord, type SendResult } from "../src/refusals/send-record.js";

const kinds = Object.keys(refusals) as RefusalKind[];

/** Returns the record of a request with one send, or with none. */
function recordWith(result: SendResult | undefined): SendRecord {
    const record = createSendRecord();
    if (result !== undefined) {
        record.begin(backendServerId("i-1"), { kind: "connection", localPort: 1 })?.end(result);
    }
    return record;
}

const notRun: readonly (SendResult | undefined)[] = [
    undefined,
    { kind: "notSent", reason: "busy" },
    { kind: "notRun", status: 503 },
];
const mayHaveRun: readonly SendResult[] = [{ kind: "answered", status: 503 }, { kind: "noAnswer", reason: "reset" }];

describe("the guarantee that a request has not run", () => {
    it("is given by every refusal as its table says if the request has not run [P4]", () => {
        for (const result of notRun) {
            for (const kind of kinds) {
                const { status } = refusals[kind];
                expect(decideRefusal(kind, recordWith(result))).to.include({ kind, status });
            }
        }
    });

    it("is given by no refusal of a request that may have run [P4]", () => {
        for (const result of mayHaveRun) {
            for (const kind of kinds) {
                const refusal = decideRefusal(kind, recordWith(result));
                expect(isGuaranteeStatus(refusal.status), kind).to.equal(false);
                expect(refusal.retryAfterSeconds, kind).to.equal(refusals[refusal.kind].retryAfterSeconds);
            }
        }
    });

    it("is not passed on from a server that may have run the request [P4]", () => {
        for (const result of mayHaveRun) {
            for (const status of [408, 421, 429, 503]) {
                expect(decideStatus(status, recordWith(result))).to.equal(undefined);
            }
            for (const status of [200, 404, 500, 502, 504]) {
                expect(decideStatus(status, recordWith(result))).to.equal(status);
            }
        }
    });

    it("lets nothing more be sent, which other answers do not [P4]", () => {
        for (const [kind, mayBegin] of [["serversFull", false], ["timedOut", true]] as const) {
            const record = createSendRecord();
            decideRefusal(kind, record);
            expect(record.begin(backendServerId("i-1"), { kind: "connection", localPort: 1 }) !== undefined).to.equal(
                mayBegin,
            );
        }
    });
});
