import { expect } from "chai";
import fc from "fast-check";
import {
    boxId,
    createManualClock,
    createTicketBook,
    errorAnswers,
    incarnationId,
    milliseconds,
    serviceId,
    type TicketBook,
} from "../src/index.js";
import { propertyOptions } from "./property-options.js";

const service = serviceId("profil-api");
const lifetime = milliseconds(60_000);

function bookOf(box: string, incarnation: string, clock = createManualClock()): TicketBook {
    return createTicketBook({
        box: boxId(box),
        incarnation: incarnationId(incarnation),
        key: Buffer.from(incarnation),
        clock: clock.now,
    });
}

function kindOf(book: TicketBook, ticket: string): string {
    const spent = book.spend(ticket, service);
    return spent.ok ? "spent" : spent.val.kind;
}

describe("tickets [P5]", () => {
    describe("spent twice", () => {
        it("run once, and the second answer says that it ran", () => {
            const book = bookOf("box-1", "one");
            const ticket = book.mint(service, lifetime);
            const spent = book.spend(ticket, service);
            expect(spent.ok).to.equal(true);
            expect(kindOf(book, ticket)).to.equal("ticketRunning");
            if (spent.ok) {
                spent.val.finish({ kind: "answered", status: 201 });
            }
            expect(kindOf(book, ticket)).to.equal("ticketSpent");
        });

        it("may run after all when the first try was not run", () => {
            const book = bookOf("box-1", "one");
            const ticket = book.mint(service, lifetime);
            const spent = book.spend(ticket, service);
            if (spent.ok) {
                spent.val.finish({ kind: "notRun" });
            }
            expect(kindOf(book, ticket)).to.equal("spent");
        });
    });

    describe("spent elsewhere", () => {
        it("are refused as not run at another box", () => {
            const ticket = bookOf("box-1", "one").mint(service, lifetime);
            expect(kindOf(bookOf("box-2", "two"), ticket)).to.equal("ticketOfOtherBox");
            expect(errorAnswers.ticketOfOtherBox.ran).to.equal("not-run");
        });

        it("are unknown after a restart of the box", () => {
            const ticket = bookOf("box-1", "one").mint(service, lifetime);
            expect(kindOf(bookOf("box-1", "two"), ticket)).to.equal("ticketOfOtherIncarnation");
            expect(errorAnswers.ticketOfOtherIncarnation.ran).to.equal("unknown");
        });

        it("are invalid for another service, or forged", () => {
            const book = bookOf("box-1", "one");
            const ticket = book.mint(serviceId("tura-depot"), lifetime);
            expect(kindOf(book, ticket)).to.equal("ticketInvalid");
            expect(kindOf(book, `${book.mint(service, lifetime).slice(0, -2)}xx`)).to.equal("ticketInvalid");
            expect(kindOf(book, "t1~~~")).to.equal("ticketInvalid");
        });
    });

    describe("after their lifetime", () => {
        it("never run, whether or not they had", () => {
            const clock = createManualClock();
            const book = bookOf("box-1", "one", clock);
            const used = book.mint(service, lifetime);
            const unused = book.mint(service, lifetime);
            const spent = book.spend(used, service);
            if (spent.ok) {
                spent.val.finish({ kind: "answered", status: 200 });
            }
            clock.advance(lifetime + 2);
            book.expire();
            expect(book.size()).to.equal(0);
            expect(kindOf(book, used)).to.equal("ticketExpired");
            expect(kindOf(book, unused)).to.equal("ticketExpired");
        });
    });

    describe("under any sequence of spending, ending, restarts and time", () => {
        const eventArbitrary = fc.oneof(
            fc.record({ kind: fc.constant("spend" as const), box: fc.nat(2), ticket: fc.nat(5) }),
            fc.record({
                kind: fc.constant("finish" as const),
                ticket: fc.nat(5),
                outcome: fc.constantFrom("notRun" as const, "answered" as const, "unknown" as const),
            }),
            fc.record({ kind: fc.constant("restart" as const), box: fc.nat(2) }),
            fc.record({ kind: fc.constant("pass" as const), time: fc.nat(70_000) }),
        );

        it("each operation runs at most once, and none that was refused as not run had run", () => {
            fc.assert(
                fc.property(fc.array(eventArbitrary, { maxLength: 60 }), events => {
                    const clock = createManualClock();
                    let incarnations = 0;
                    const fresh = (box: number) => bookOf(`box-${box}`, `run-${incarnations++}`, clock);
                    const books = [0, 1, 2].map(fresh);
                    const tickets = Array.from({ length: 6 }, (_, index) => books[index % 3].mint(service, lifetime));
                    const runs = tickets.map(() => 0);
                    const open = new Map<number, (outcome: "notRun" | "answered" | "unknown") => void>();
                    for (const event of events) {
                        switch (event.kind) {
                            case "pass":
                                clock.advance(event.time);
                                books.forEach(book => book.expire());
                                break;
                            case "restart":
                                books[event.box] = fresh(event.box);
                                break;
                            case "finish":
                                open.get(event.ticket)?.(event.outcome);
                                open.delete(event.ticket);
                                break;
                            case "spend":
                                spend(event.box, event.ticket);
                                break;
                        }
                    }
                    function spend(box: number, ticket: number): void {
                        const spent = books[box].spend(tickets[ticket], service);
                        if (spent.err) {
                            if (errorAnswers[spent.val.kind].ran === "not-run") {
                                expect(spent.val.kind).to.equal("ticketOfOtherBox");
                            }
                            return;
                        }
                        runs[ticket]++;
                        expect(runs[ticket]).to.equal(1);
                        open.set(ticket, outcome => {
                            runs[ticket] -= outcome === "notRun" ? 1 : 0;
                            spent.val.finish(
                                outcome === "answered" ? { kind: outcome, status: 200 } : { kind: outcome },
                            );
                        });
                    }
                }),
                { ...propertyOptions, numRuns: propertyOptions.numRuns * 2 },
            );
        });
    });
});

describe("a ticket checked", () => {
    it("tells what it was spent on, and takes nothing", () => {
        const book = bookOf("box-1", "one");
        const ticket = book.mint(service, lifetime);
        expect(book.check(ticket, service).ok).to.equal(true);
        expect(book.check(ticket, service).ok).to.equal(true);
        expect(kindOf(book, ticket)).to.equal("spent");
        const checked = book.check(ticket, service);
        expect(checked.err && checked.val.kind).to.equal("ticketRunning");
    });
});
