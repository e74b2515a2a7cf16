import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    encodeMessage,
    lastFieldRoom,
    maximumMessageBytes,
    MessageKind,
    MessageReader,
    WireError,
    type WireMessage,
} from "../wireMessages.ts";

const seed = 20261207;

/** Number of fields of each kind of message; the last one extends to the end. */
const fieldCounts: readonly (readonly [MessageKind, number])[] = [
    [MessageKind.Connect, 3],
    [MessageKind.Query, 2],
    [MessageKind.Quit, 0],
    [MessageKind.Row, 1],
    [MessageKind.Complete, 1],
    [MessageKind.Error, 2],
    [MessageKind.Ready, 2],
];

/** Bytes with many blanks and line ends among them, but no CR LF. */
const lastField = fc.array(
    fc.oneof(fc.nat(255), fc.constantFrom(0x0a, 0x0d, 0x20)),
    { maxLength: 40 },
).map(bytes => Buffer.from(bytes).toString("latin1").replaceAll("\r\n", "\r.\n"));

const word = lastField.map(text => text.replaceAll(" ", "_"));

const message: fc.Arbitrary<WireMessage> = fc.constantFrom(...fieldCounts).chain(([kind, count]) =>
    fc.tuple(...Array.from({ length: count }, (_, index) => index === count - 1 ? lastField : word))
        .map(fields => ({ kind, fields }))
);

/** Reads a stream in chunks that end at the given places. */
function readCut(stream: Buffer, places: readonly number[]): readonly WireMessage[] {
    const reader = new MessageReader();
    const ends = [...places.map(place => place % (stream.length + 1)), stream.length].sort((a, b) => a - b);
    return ends.flatMap((end, index) => [...reader.read(stream.subarray(ends[index - 1] ?? 0, end))]);
}

describe("messages of the stand-ins", () => {
    it("are read as they were written, for any bytes and any chunks", () => {
        fc.assert(
            fc.property(
                fc.array(message, { maxLength: 8 }),
                fc.array(fc.nat(), { maxLength: 40 }),
                (messages, places) => {
                    const stream = Buffer.concat(messages.map(({ kind, fields }) => encodeMessage(kind, ...fields)));
                    assert.deepEqual(readCut(stream, places), messages);
                    assert.deepEqual(readCut(stream, [...stream.keys()]), messages);
                },
            ),
            { seed, numRuns: 300 },
        );
    });

    it("end at CR LF alone", () => {
        const stream = Buffer.from("ROW a\nCOMPLETE b\rREADY I 1.1\r\r\n\nROW c\r\n", "latin1");
        const reader = new MessageReader();
        assert.deepEqual(reader.read(stream).next().value, {
            kind: MessageKind.Row,
            fields: ["a\nCOMPLETE b\rREADY I 1.1\r"],
        });
        assert.throws(() => [...new MessageReader().read(stream)], WireError);
    });

    it("keep the difference between a field that is empty and one that is missing", () => {
        assert.deepEqual(readCut(Buffer.from("ROW\r\nROW \r\nERROR BUSY\r\n"), []), [
            { kind: MessageKind.Row, fields: [] },
            { kind: MessageKind.Row, fields: [""] },
            { kind: MessageKind.Error, fields: ["BUSY"] },
        ]);
    });

    it("are refused if the protocol has none such", () => {
        for (const text of ["row a", "QUIT now", "QUIT ", "", " ROW a", "ROWS a"]) {
            assert.throws(() => readCut(Buffer.from(`${text}\r\n`), []), WireError, text);
        }
        assert.throws(() => encodeMessage(MessageKind.Row, "a\r\nb"), WireError);
        assert.throws(() => encodeMessage(MessageKind.Query, "a b", "READ c"), WireError);
        assert.throws(() => encodeMessage(MessageKind.Quit, "a"), WireError);
        assert.throws(() => encodeMessage(MessageKind.Row, "\u0100"), WireError);
    });

    it("may fill 1 MiB, and no more", () => {
        const room = lastFieldRoom(MessageKind.Query, "1");
        const longest = encodeMessage(MessageKind.Query, "1", "\n".repeat(room));
        assert.equal(longest.length, maximumMessageBytes);
        const chunkEnds = Array.from({ length: maximumMessageBytes / 64 }, (_, index) => 64 * index);
        assert.equal(readCut(longest, chunkEnds)[0]!.fields[1]!.length, room);
        assert.throws(() => encodeMessage(MessageKind.Query, "1", "a".repeat(room + 1)), WireError);
        const reader = new MessageReader();
        assert.deepEqual([...reader.read(Buffer.alloc(maximumMessageBytes + 2, "a"))], []);
        assert.throws(() => [...reader.read(Buffer.from("a"))], WireError);
    });
});
