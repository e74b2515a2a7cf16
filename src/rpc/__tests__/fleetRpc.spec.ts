import type { Server } from "@grpc/grpc-js";
import { EventEmitter, once } from "node:events";
import { afterEach, describe, it } from "node:test";
import { AttachmentHub } from "../../fleet/attachmentHub.ts";
import { Attachments } from "../../fleet/attachments.ts";
import { FleetDatabaseDirectory } from "../../fleet/fleetDatabaseDirectory.ts";
import { ControlKind } from "../../model/controlMessages.ts";
import { type DatabaseReport, FleetKind, ReportedState } from "../../model/fleetMessages.ts";
import { type InstancesKnown, PeerKind } from "../../model/peerMessages.ts";
import { EventLoop } from "../../pipeline/eventLoop.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import type { Sink } from "../../pipeline/sink.ts";
import { SystemClock } from "../../wiring/systemClock.ts";
import { FleetAcceptor } from "../fleetAcceptor.ts";
import { FleetConnector } from "../fleetConnector.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen } from "../peerChannel.ts";
import { PeerClientFactory } from "../peerClientFactory.ts";
import { noopTraffic } from "./noopTraffic.ts";

/** Databases at the planned size, from docs/CAPACITY.md. */
const plannedDatabases = 660;

/** For the whole of a test, in ms. */
const limitMs = 10_000;

const servers: Server[] = [];

afterEach(() => servers.splice(0).forEach(server => server.forceShutdown()));

function authenticationOf(instanceId: string): PeerAuthentication {
    return new PeerAuthentication({ cluster: "c", instanceId, secret: "0123456789abcdef" });
}

/** Keeps what leaves a process. */
class Outbox implements Sink {
    readonly accepts = [
        PeerKind.InstancesKnown,
        FleetKind.DatabaseChanged,
        FleetKind.DatabaseReportAccepted,
        FleetKind.MembersKnown,
        ControlKind.LeaderChanged,
    ];
    readonly changed = new EventEmitter();
    readonly databases = new Set<string>();
    instances: readonly string[] = [];

    deliver(message: Message): void {
        if (message.kind === PeerKind.InstancesKnown) {
            this.instances = (message as InstancesKnown).instances.map(({ instanceId }) => instanceId).sort();
        }
        if (message.kind === FleetKind.DatabaseChanged) {
            this.databases.add((message as Message & { report: DatabaseReport; }).report.databaseId);
        }
        this.changed.emit("message");
    }

    async until(reached: (outbox: Outbox) => boolean): Promise<void> {
        const signal = AbortSignal.timeout(limitMs);
        while (!reached(this)) {
            await once(this.changed, "message", { signal });
        }
    }
}

interface Process extends AsyncDisposable {
    readonly outbox: Outbox;
    post(message: Message): void;
}

async function startMember(): Promise<Process & { readonly address: string; }> {
    const post = (message: Message): void => loop.post(message);
    const acceptor = new FleetAcceptor({ post, traffic: noopTraffic });
    const server = createPeerServer(authenticationOf("core0"));
    acceptor.register(server);
    servers.push(server);
    const address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
    const outbox = new Outbox();
    const fleet = new Pipe("fleet", [new FleetDatabaseDirectory(), new AttachmentHub({ instanceId: "core0" })]);
    const loop = new EventLoop({ clock: new SystemClock(), pipes: [fleet], sinks: [acceptor, outbox, new Rest()] });
    return { address, outbox, post, [Symbol.asyncDispose]: () => disposeAll(acceptor, loop) };
}

function startInstance(instanceId: string, member: string): Process {
    const post = (message: Message): void => loop.post(message);
    const clientFactory = new PeerClientFactory({ authentication: authenticationOf(instanceId) });
    const connector = new FleetConnector({
        clientFactory,
        post,
        random: new SeededRandom(1),
        traffic: noopTraffic,
        ownAddress: instanceId,
    });
    const outbox = new Outbox();
    const options = {
        instanceId,
        dataCentre: "d",
        address: `${instanceId}:1`,
        serves: true,
        followsConfiguration: false,
    };
    const fleet = new Pipe("fleet", [new FleetDatabaseDirectory(), new Attachments(options)]);
    const loop = new EventLoop({ clock: new SystemClock(), pipes: [fleet], sinks: [connector, outbox, new Rest()] });
    post({ kind: FleetKind.MembersKnown, addresses: [member] } as Message);
    return { outbox, post, [Symbol.asyncDispose]: () => disposeAll(connector, loop) };
}

/** Takes the events that leave the fleet pipe unchanged. */
class Rest implements Sink {
    readonly accepts = [
        FleetKind.Attached,
        FleetKind.Detached,
        FleetKind.FrameReceived,
        FleetKind.DrainStarted,
    ];

    deliver(): void {
        // Nothing here needs them.
    }
}

async function disposeAll(...parts: AsyncDisposable[]): Promise<void> {
    for (const part of parts) {
        await part[Symbol.asyncDispose]();
    }
}

function reportOf(databaseId: string): DatabaseReport {
    return {
        databaseId,
        service: "orders",
        address: `${databaseId}:8080`,
        dataCentre: "d",
        slots: 5,
        state: ReportedState.Ready,
        leads: false,
        sequence: 1,
        bornUnixMs: 1,
    };
}

describe("attachments over gRPC", () => {
    it("let an instance know all planned databases of one member", async () => {
        // Guards against an attachment that is cut off at each attempt, because its greeting exceeds the waiting frames.
        await using member = await startMember();
        for (let index = 0; index < plannedDatabases; index++) {
            member.post({ kind: FleetKind.DatabaseReported, report: reportOf(`db${index}`) } as Message);
        }
        await using instance = startInstance("front0", member.address);
        await instance.outbox.until(({ databases }) => databases.size === plannedDatabases);
    });

    it("let instances know each other, and no longer those that have ended or leave", async () => {
        await using member = await startMember();
        member.post({ kind: ControlKind.LeaderChanged, leading: true, term: 1 } as Message);
        await using first = startInstance("front0", member.address);
        await using second = startInstance("front1", member.address);
        {
            await using third = startInstance("front2", member.address);
            await third.outbox.until(({ instances }) => instances.join() === "front0,front1,front2");
        }
        await first.outbox.until(({ instances }) => instances.join() === "front0,front1");
        second.post(
            { kind: FleetKind.DrainStarted, transactionsUntilMs: 0, answersUntilMs: 0, final: false } as Message,
        );
        await first.outbox.until(({ instances }) => instances.join() === "front0");
    });
});
