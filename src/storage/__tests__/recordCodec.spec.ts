import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { encodeRecord, maximumPayloadBytes, scanRecords, ScanStatus } from "../recordCodec.ts";

const seed = 20_261_204;
const payloadArbitrary = fc.uint8Array({ minLength: 1, maxLength: 200 }).map(bytes => Buffer.from(bytes));

describe("record codec", () => {
    it("decodes encoded records, and a prefix of the records from any prefix of the data", () => {
        fc.assert(
            fc.property(fc.array(payloadArbitrary, { maxLength: 8 }), fc.nat(), (payloads, prefixSeed) => {
                const data = Buffer.concat(payloads.map(encodeRecord));
                assert.deepEqual(scanRecords(data), { payloads, status: ScanStatus.Complete, validBytes: data.length });
                const length = data.length === 0 ? 0 : prefixSeed % data.length;
                const scan = scanRecords(data.subarray(0, length));
                assert.deepEqual(scan.payloads, payloads.slice(0, scan.payloads.length));
                assert.notEqual(scan.status, ScanStatus.Damaged);
            }),
            { seed, numRuns: 500 },
        );
    });

    it("never throws on random bytes and never returns more bytes than the input has", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 2_000 }), bytes => {
                const scan = scanRecords(Buffer.from(bytes));
                const total = scan.payloads.reduce((sum, payload) => sum + payload.length, 0);
                assert.ok(total <= bytes.length && scan.validBytes <= bytes.length);
            }),
            { seed, numRuns: 2_000 },
        );
    });

    it("does not allocate the length of a damaged length field", () => {
        const data = Buffer.alloc(64);
        data.writeUInt32BE(0xffff_ffff, 0);
        assert.deepEqual(scanRecords(data), { payloads: [], status: ScanStatus.Torn, validBytes: 0 });
        assert.throws(() => encodeRecord(Buffer.alloc(maximumPayloadBytes + 1)), /limit/);
    });
});
