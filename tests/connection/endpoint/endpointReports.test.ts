import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointReports } from "../../../src/connection/endpoint/endpointReports.ts";

describe("EndpointReports", () => {
    const oneReportBytes = 130;

    function createReport(endpoint: string, sequence: number, state = "serving") {
        return { endpoint, observer: "node-1", sequence: BigInt(sequence), state, queueDepth: 0, layers: [] };
    }

    it("sends changes of state before refreshes, however many of these are queued", () => {
        const reports = EndpointReports.create(() => 9);
        for (let index = 0; index < 100; index += 1) {
            reports.add(createReport(`engine-${index}`, 1));
        }
        for (let message = 0; message < 2_000; message += 1) {
            reports.collect(oneReportBytes);
        }
        for (let index = 0; index < 100; index += 1) {
            reports.add(createReport(`engine-${index}`, 2));
        }
        reports.add(createReport("engine-99", 3, "leaving"));
        // A refresh that replaces the change keeps the precedence of the change.
        reports.add(createReport("engine-99", 4, "leaving"));
        assert.deepEqual(reports.collect(oneReportBytes).map(report => report.endpoint), ["engine-99"]);
    });

    it("doesn't treat the first report of a serving engine as a change", () => {
        const reports = EndpointReports.create(() => 9);
        for (let index = 0; index < 100; index += 1) {
            reports.add(createReport(`engine-${index}`, 1));
        }
        reports.add(createReport("engine-99", 2, "leaving"));
        assert.deepEqual(reports.collect(oneReportBytes).map(report => report.endpoint), ["engine-99"]);
    });

    it("accepts only newer reports, and sends each report a limited number of times", () => {
        const reports = EndpointReports.create(() => 9);
        assert.ok(reports.add(createReport("engine-1", 5)));
        assert.ok(!reports.add(createReport("engine-1", 5)));
        assert.ok(!reports.add(createReport("engine-1", 4)));
        let sent = 0;
        while (reports.collect(oneReportBytes).length > 0) {
            sent += 1;
        }
        assert.ok(sent > 0 && sent < 100);
    });
});
