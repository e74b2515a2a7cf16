import fc from "fast-check";
import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { describe, it } from "node:test";
import { type FleetFrame, FleetKind, type FrameReceived, type PermitAnswer } from "../../model/fleetMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { FleetAcceptor } from "../fleetAcceptor.ts";
import { decodeFrame, encodeFrame, frameBytes } from "../fleetCodec.ts";
import { FleetConnector } from "../fleetConnector.ts";
import { FleetFrameMessage } from "../generated/fleet.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen, shutDownServer } from "../peerChannel.ts";
import { PeerClientFactory } from "../peerClientFactory.ts";
import { noopTraffic } from "./noopTraffic.ts";

const workspace = fc.string({ maxLength: 12 });
const count = fc.nat();
const answer: fc.Arbitrary<PermitAnswer> = fc.oneof(
    fc.tuple(workspace, count),
    fc.tuple(workspace, count, fc.integer({ min: 1, max: 60_000 })),
    fc.tuple(workspace, count, count, fc.nat(1_000_000), fc.integer()),
);
const frame: fc.Arbitrary<FleetFrame> = fc.oneof(
    fc.record({
        kind: fc.constant("want" as const),
        sequence: fc.integer({ min: 1, max: 2 ** 40 }),
        heard: count,
        term: count,
        wants: fc.array(fc.tuple(workspace, count, count, count, count)),
    }, { noNullPrototype: true }),
    fc.record({
        kind: fc.constant("permits" as const),
        term: count,
        sequence: fc.integer({ min: 1, max: 2 ** 40 }),
        answers: fc.array(answer),
    }, { noNullPrototype: true }),
);

/** As the frame arrives over gRPC. */
function transmit(message: FleetFrameMessage): FleetFrameMessage {
    return FleetFrameMessage.decode(FleetFrameMessage.encode(message).finish());
}

const request: FleetFrame = { kind: "want", sequence: 812, heard: 811, term: 3, wants: [["nowu601", 1, 0, 0, 0]] };
const answers: FleetFrame = { kind: "permits", term: 3, sequence: 812, answers: [["nowu601", 1]] };
const opening: FleetFrame = {
    kind: "hello",
    instanceId: "front1",
    serves: true,
    leaving: false,
    dataCentre: "dc",
    address: "10.0.0.1:7000",
};
const openingAnswer: FleetFrame = {
    kind: "status",
    instanceId: "core1",
    leading: true,
    term: 3,
    members: [],
    configurationVersion: 1,
    instanceCount: 1,
};

describe("permit messages", () => {
    it("carry the same frames as JSON", () => {
        fc.assert(fc.property(frame, sent => {
            assert.deepEqual(decodeFrame(transmit(encodeFrame(sent, true))), sent);
            assert.deepEqual(decodeFrame(transmit(encodeFrame(sent))), sent);
        }));
    });

    it("take half of the bytes of JSON or less", () => {
        for (const sent of [request, answers]) {
            assert.ok(frameBytes(encodeFrame(sent, true)) <= frameBytes(encodeFrame(sent)) / 2);
        }
    });

    it("go only to peers that read them, as those say in the first frames of an attachment", () => {
        assert.equal(transmit(encodeFrame(opening)).readsPermitMessages, true);
        assert.equal(transmit(encodeFrame(request)).permitRequest, undefined);
    });

    it("round a retry time up", () => {
        const permits: FleetFrame = { kind: "permits", term: 3, sequence: 1, answers: [["w", 0, 20.2]] };
        const received = decodeFrame(transmit(encodeFrame(permits, true))) as typeof permits;
        assert.deepEqual(received.answers, [["w", 0, 21]]);
    });

    it("carry the largest values that fit instead of greater ones", () => {
        // Guards against the end of a control leader by a workspace whose burst no message can carry.
        const answers: PermitAnswer[] = [["w", 5e9, 5e9, 5e9, 1e302], ["w", 1, 1, 1, -Infinity]];
        const permits: FleetFrame = { kind: "permits", term: 3, sequence: 1, answers };
        const received = decodeFrame(transmit(encodeFrame(permits, true))) as typeof permits;
        const most = Number.MAX_SAFE_INTEGER;
        assert.deepEqual(received.answers, [["w", 2 ** 32 - 1, 2 ** 32 - 1, 2 ** 32 - 1, most], ["w", 1, 1, 1, -most]]);
        const wants = [["w", 5e9, 5e9, 5e9, 1e302]] as const;
        const sent: FleetFrame = { kind: "want", sequence: 1, heard: 1, term: 1, wants };
        const asked = decodeFrame(transmit(encodeFrame(sent, true))) as typeof sent;
        assert.deepEqual(asked.wants, [["w", 2 ** 32 - 1, 2 ** 32 - 1, 2 ** 32 - 1, most]]);
    });

    it("are refused if they are malformed", () => {
        const body = Buffer.alloc(0);
        assert.throws(() => decodeFrame({ body, permitRequest: Buffer.from([0x22, 0xff]) }));
        assert.throws(() => decodeFrame({ body, permitAnswers: Buffer.from([0xff]) }));
        assert.throws(() => decodeFrame({ body }));
    });

    it("are used in both directions of an attachment once its first frames have arrived", async () => {
        const authentication = new PeerAuthentication({ cluster: "c", instanceId: "i", secret: "0123456789abcdef" });
        const sizes: string[] = [];
        const traffic = {
            ...noopTraffic,
            recordSent: (kind: string, bytes: number): void => void sizes.push(`${kind} ${bytes}`),
        };
        const received = new EventEmitter();
        const post = (message: Message): void => {
            if (message.kind === FleetKind.FrameReceived) {
                const { frame, attachmentId } = message as FrameReceived;
                received.emit(frame.kind, attachmentId);
            }
        };
        await using acceptor = new FleetAcceptor({ post, traffic });
        const server = createPeerServer(authentication);
        acceptor.register(server);
        const address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
        const clientFactory = new PeerClientFactory({ authentication });
        const options = { clientFactory, random: new SeededRandom(1), ownAddress: "front:1", post, traffic };
        await using connector = new FleetConnector(options);
        const sendTo = (sink: FleetAcceptor | FleetConnector, attachmentId: string, frame: FleetFrame): void =>
            sink.deliver({ kind: FleetKind.SendFrame, attachmentId, frame });
        const arrival = async (kind: string): Promise<string> => (await once(received, kind) as [string])[0];
        connector.deliver({ kind: FleetKind.MembersKnown, addresses: [address] });
        const hello = arrival("hello");
        sendTo(connector, "out0", opening);
        const incoming = await hello;
        const status = arrival("status");
        sendTo(acceptor, incoming, openingAnswer);
        await status;
        const want = arrival("want");
        sendTo(connector, "out0", request);
        await want;
        const permits = arrival("permits");
        sendTo(acceptor, incoming, answers);
        await permits;
        const compact = [request, answers].map(frame => `${frame.kind} ${frameBytes(encodeFrame(frame, true))}`);
        assert.deepEqual(sizes.slice(2), compact);
        await connector[Symbol.asyncDispose]();
        await shutDownServer(server);
    });
});
