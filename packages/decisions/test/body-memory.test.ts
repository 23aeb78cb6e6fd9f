import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { type BodyAccount, type BodyMemory, bodyMemoryLimit, createBodyMemory } from "../src/index.js";

const maxBytes = 1_000_000;
const at = (time: number) => milliseconds(time);

describe("the memory of bodies", () => {
    let memory: BodyMemory;
    let events: string[];

    beforeEach(() => {
        memory = createBodyMemory(maxBytes);
        events = [];
    });

    function open(name: string, time = 0): BodyAccount {
        const account = memory.open("request", at(time));
        account.onResume = () => events.push(`${name} resumes`);
        account.onStalled = () => events.push(`${name} stalls`);
        return account;
    }

    it("is an eighth of the box's memory limit", () => {
        expect(bodyMemoryLimit(250_000_000)).to.equal(31_250_000);
    });

    it("lets all bodies read below the bound, and only the oldest beyond it", () => {
        const [first, second] = [open("first"), open("second")];
        first.recordReceived(maxBytes / 2, maxBytes / 2, at(1));
        expect([first.mayRead(), second.mayRead()]).to.deep.equal([true, true]);
        second.recordReceived(maxBytes / 2, maxBytes / 2, at(1));
        expect([first.mayRead(), second.mayRead()]).to.deep.equal([true, false]);
        expect(memory.waitingCount()).to.equal(1);
    });

    it("resumes the next body once memory is released, and releases it only once", () => {
        const [first, second] = [open("first"), open("second")];
        first.recordReceived(maxBytes, maxBytes, at(1));
        first.markComplete();
        second.recordReceived(1, maxBytes, at(1));
        const third = open("third");
        expect([second.mayRead(), third.mayRead()]).to.deep.equal([true, false]);
        first.close(at(2));
        first.close(at(2));
        second.close(at(3));
        expect(events).to.deep.equal(["third resumes"]);
        expect(memory.held()).to.equal(0);
    });

    it("releases what has left of an answer before the rest has, and each byte only once", () => {
        const leaving = memory.open("answer", at(0));
        leaving.recordReceived(2 * maxBytes, 2 * maxBytes, at(1));
        leaving.markComplete();
        const waiting = open("waiting");
        open("later");
        expect(waiting.mayRead()).to.equal(false);
        leaving.recordSent(0, at(2));
        expect(events).to.deep.equal([]);
        leaving.recordSent(maxBytes, at(3));
        leaving.recordSent(maxBytes, at(4));
        expect(memory.held()).to.equal(maxBytes);
        expect(events).to.deep.equal(["waiting resumes"]);
        leaving.close(at(5));
        expect(memory.held()).to.equal(0);
    });

    it("resumes the oldest unfinished body when the one before it is complete", () => {
        const [first, second] = [open("first"), open("second")];
        first.recordReceived(maxBytes, maxBytes, at(1));
        expect(second.mayRead()).to.equal(false);
        first.markComplete();
        memory.sweep(at(2));
        expect(events).to.deep.equal(["second resumes"]);
    });

    it("ends a body that makes hardly any progress while others wait, and only then", () => {
        const first = open("first");
        first.recordReceived(maxBytes, maxBytes, at(0));
        memory.sweep(at(5000));
        expect(events).to.deep.equal([]);
        const second = open("second", 5000);
        second.mayRead();
        first.recordReceived(maxBytes + 4095, maxBytes + 4095, at(5000));
        memory.sweep(at(5001));
        expect(events).to.deep.equal(["first stalls", "second resumes"]);
    });

    it("never makes a short body wait", () => {
        open("first").recordReceived(maxBytes, maxBytes, at(0));
        const second = open("second");
        expect([second.mayRead(4096), second.mayRead(4097)]).to.deep.equal([true, false]);
    });

    it("lets only so many bodies wait that the chunks that came with their heads fill the bound once more", () => {
        open("first").recordReceived(maxBytes, maxBytes, at(0));
        for (let count = 0; count <= maxBytes / 65_536; count++) {
            expect(memory.mayWait()).to.equal(true);
            open("waiting").mayRead();
        }
        expect(memory.mayWait()).to.equal(false);
    });

    it("resumes only as many bodies at once as have room for what they may receive", () => {
        const first = open("first");
        first.recordReceived(maxBytes, maxBytes, at(0));
        const others = Array.from({ length: 14 }, (_, index) => open(String(index)));
        others.forEach(other => other.mayRead());
        first.recordReceived(maxBytes, maxBytes - 200_000, at(0));
        memory.sweep(at(1));
        expect(events).to.deep.equal(["0 resumes", "1 resumes", "2 resumes", "3 resumes"]);
        memory.sweep(at(2));
        expect(events).to.have.length(4);
    });

    it("does not end a body that makes progress or has just resumed", () => {
        const [first, second] = [open("first"), open("second")];
        first.recordReceived(maxBytes, maxBytes, at(900));
        expect(second.mayRead()).to.equal(false);
        memory.sweep(at(1000));
        expect(events).to.deep.equal([]);
        first.close(at(1100));
        open("third", 1100).recordReceived(maxBytes, maxBytes, at(1100));
        memory.sweep(at(1200));
        expect(events).to.deep.equal(["second resumes"]);
    });

    describe("of answers", () => {
        const openAnswer = (name: string, time = 0): BodyAccount => {
            const account = memory.open("answer", at(time));
            account.onResume = () => events.push(`${name} resumes`);
            account.onStalled = () => events.push(`${name} stalls`);
            return account;
        };

        it("is a quarter larger than that of requests, together with them", () => {
            open("request").recordReceived(maxBytes, maxBytes, at(0));
            const [first, second] = [openAnswer("first"), openAnswer("second")];
            first.recordReceived(maxBytes / 8, maxBytes / 8, at(0));
            expect([first.mayRead(), second.mayRead()]).to.deep.equal([true, true]);
            second.recordReceived(maxBytes / 8, maxBytes / 8, at(0));
            expect([first.mayRead(), second.mayRead()]).to.deep.equal([false, false]);
        });

        it("lets a request's body be read when answers leave room for it", () => {
            openAnswer("answer").recordReceived(maxBytes, maxBytes, at(0));
            expect(open("request").mayRead()).to.equal(true);
        });

        it("does not grow while complete answers fill it, whoever is the oldest", () => {
            const first = openAnswer("first");
            first.recordReceived(2 * maxBytes, 2 * maxBytes, at(0));
            first.markComplete();
            const second = openAnswer("second");
            expect(second.mayRead()).to.equal(false);
            first.close(at(1));
            expect(events).to.deep.equal(["second resumes"]);
            expect(memory.held()).to.equal(0);
        });

        it("is freed from callers that read nothing while others wait, and only then", () => {
            const first = openAnswer("first");
            first.recordReceived(2 * maxBytes, 2 * maxBytes, at(0));
            first.markComplete();
            first.recordSent(0, at(0));
            memory.sweep(at(20_000));
            expect(events).to.deep.equal([]);
            openAnswer("second", 20_000).mayRead();
            first.recordSent(1000, at(20_000));
            memory.sweep(at(29_999));
            expect(events).to.deep.equal([]);
            first.recordSent(1000, at(29_999));
            memory.sweep(at(30_000));
            expect(events).to.deep.equal(["first stalls"]);
        });

        it("counts nothing that is recorded after an account was closed", () => {
            const account = openAnswer("first");
            account.close(at(1));
            account.recordReceived(1000, 1000, at(2));
            account.markComplete();
            account.recordSent(1, at(2));
            expect(memory.held()).to.equal(0);
        });
    });
});
