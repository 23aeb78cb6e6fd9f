import { milliseconds, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { type AdmissionInputs, admit, type Configuration, createRouteTable, type Route } from "../src/index.js";

const route = (name: string, pathPrefix: string): Route => ({
    name,
    host: "app.example",
    pathPrefix,
    kind: "safe",
    destinations: [{ service: serviceId("profiles"), weight: 1 }],
    goal: milliseconds(400),
    timeout: milliseconds(1500),
    maxAttempts: 2,
    priority: 1,
    sticky: true,
    homeRegions: [],
});
const configuration: Configuration = {
    version: 1,
    routes: [route("all", "/"), route("climbs", "/climbs/")],
    services: [],
    limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1000,
        headerTimeout: milliseconds(3000),
        idleTimeout: milliseconds(15_000),
    },
};

describe("admission", () => {
    const routes = createRouteTable(configuration);
    const ask = (changes: Partial<AdmissionInputs> = {}) =>
        admit({ routes, isComplete: true, phase: "running", host: "app.example:80", path: "/climbs/3", ...changes });

    it("gives the route with the longest prefix of the host", () => {
        expect(ask()).to.deep.equal({ kind: "admitted", route: configuration.routes[1] });
        expect(ask({ path: "/other" })).to.deep.equal({ kind: "admitted", route: configuration.routes[0] });
    });

    it("says that there is no route only with a configuration in force [P10]", () => {
        expect(ask({ host: "other.example" })).to.deep.equal({ kind: "refused", refusal: "noRoute" });
        for (const incomplete of [{ routes: undefined }, { isComplete: false }]) {
            expect(ask({ ...incomplete, host: "other.example" })).to.deep.equal({
                kind: "refused",
                refusal: "notReady",
            });
        }
    });

    it("takes new work while a box is leaving, and none once it is closing [P7]", () => {
        expect(ask({ phase: "leaving" }).kind).to.equal("admitted");
        expect(ask({ phase: "closing" })).to.deep.equal({ kind: "refused", refusal: "leaving" });
    });
});
