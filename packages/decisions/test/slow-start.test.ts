import { backendServerId, boxId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createSlowStart } from "../src/index.js";

describe("slow start [P14]", () => {
    it("keeps all boxes together within the rate and one request for each sender", () => {
        const names = Array.from({ length: 80 }, (_, index) => boxId(`box-${index}`));
        const admissions = names.map(self =>
            createSlowStart({ self, server: backendServerId("s-1"), boxes: () => names, rate: () => 14 })
        );
        const sent: number[] = [];
        for (let time = 0; time < 3000; time += 5) {
            const at = milliseconds(time);
            for (const admission of admissions) {
                if (admission.allows(at)) {
                    admission.onSent(at);
                    sent.push(time);
                }
            }
        }
        for (let start = 0; start < 2000; start += 50) {
            const inSecond = sent.filter(time => time >= start && time < start + 1000).length;
            expect(inSecond).to.be.within(8, 14 + 5);
        }
    });

    it("lets no box send that is not among the senders to choose from", () => {
        const senders = ["a", "b", "c"].map(name => boxId(name));
        const others = Array.from({ length: 20 }, (_, index) => boxId(`box-${index}`));
        const admissions = others.map(self =>
            createSlowStart({ self, server: backendServerId("s-1"), boxes: () => senders, rate: () => 14 })
        );
        expect(admissions.filter(admission => admission.allows(milliseconds(0)))).to.deep.equal([]);
    });
});
