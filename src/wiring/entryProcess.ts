/** The one module that wires the parts of an entry instance. */
import "disposablestack/auto";
import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import { MysqlAdapter } from "../backend/mysqlAdapter.ts";
import { MysqlBackend } from "../backend/mysqlBackend.ts";
import { MysqlFrontend } from "../frontend/mysqlFrontend.ts";
import { NativePasswordVerifier } from "../frontend/proofVerifier.ts";
import { HmacSessionTokenCodec } from "../frontend/sessionToken.ts";
import { ClusterKind } from "../model/clusterMessages.ts";
import { emptyConfiguration } from "../model/configuration.ts";
import { ResourceKind } from "../model/lease.ts";
import { EventLoop, type LoopObserver } from "../pipeline/eventLoop.ts";
import type { Message } from "../pipeline/message.ts";
import { TraceRecorder } from "../pipeline/trace.ts";
import { registerAnnouncements } from "../rpc/announcementService.ts";
import { PeerAuthentication } from "../rpc/peerAuthentication.ts";
import { createPeerServer, listen } from "../rpc/peerChannel.ts";
import type { EntrySettings } from "../settings/entrySettings.ts";
import { TraceFileWriter } from "../storage/traceFile.ts";
import { buildPipes, type PipeOptions } from "./buildPipes.ts";
import { SystemClock } from "./systemClock.ts";

const unused = ["rates.demand_measured", "holder.database_health", "holder.lease_idle", "holder.order_done"];

/** Contents of the files that the settings name. */
export interface EntrySecrets {
    readonly clusterSecret: string;
    readonly databasePassword: string;
}

export interface EntryProcess extends AsyncDisposable {
    /** Starts the graceful shutdown; a second call ends at once. */
    drain(): void;
    /** Settles when the shutdown has ended. */
    readonly drained: Promise<void>;
}

/** Starts an entry instance; its disposal closes everything in reverse order. */
export async function startEntry(settings: EntrySettings, secrets: EntrySecrets): Promise<EntryProcess> {
    const stack = new AsyncDisposableStack();
    const options = toPipeOptions(settings);
    const pipes = buildPipes(options, {
        verifier: new NativePasswordVerifier(),
        tokens: new HmacSessionTokenCodec(secrets.clusterSecret),
    });
    const post: EventLoop["post"] = message => loop.post(message);
    const frontend = stack.use(
        new MysqlFrontend({ ...settings["mysql-listen"], post, serverVersion: "8.0.36-jasmineline" }),
    );
    const adapter = new MysqlAdapter({ user: settings["database-user"], password: secrets.databasePassword });
    const backend = stack.use(new MysqlBackend({ adapter, post }));
    const loop = new EventLoop({
        clock: new SystemClock(),
        pipes,
        sinks: [frontend, backend, { accepts: unused, deliver: () => undefined }],
        observers: openTrace(settings, options, stack),
    });
    stack.use(loop);
    const authentication = new PeerAuthentication({
        cluster: settings["cluster-name"],
        instanceId: settings["instance-id"],
        secret: secrets.clusterSecret,
    });
    const server = createPeerServer(authentication);
    registerAnnouncements(server, post);
    await listen(server, options.rpcAddress);
    stack.defer(() => server.forceShutdown());
    await frontend.listen();
    postInitialConfiguration(settings, post);
    let finish = (): void => undefined;
    const drained = new Promise<void>(resolve => {
        finish = resolve;
    });
    return { drain: () => finish(), drained, [Symbol.asyncDispose]: () => stack.disposeAsync() };
}

function postInitialConfiguration(settings: EntrySettings, post: EventLoop["post"]): void {
    const path = settings["initial-configuration"];
    const file = path === undefined ? {} : JSON.parse(readFileSync(path, "utf8")) as object;
    const configuration = { ...emptyConfiguration, version: 1, ...file };
    const { workspaces } = configuration;
    const rateShares = workspaces.map(({ name, ratePerSecond, burst }) => ({
        workspace: name,
        dataCentre: settings["data-centre"],
        ratePerSecond,
        burst,
    }));
    const leases = workspaces.map(({ name }) => ({
        resource: ResourceKind.Permits,
        resourceId: `${name}@${settings["data-centre"]}`,
        instanceId: settings["instance-id"],
        instanceAddress: "",
        epoch: 1,
    }));
    const applied = { kind: ClusterKind.ConfigurationApplied, configuration: { ...configuration, rateShares, leases } };
    post(applied as Message);
}

function toPipeOptions(settings: EntrySettings): PipeOptions {
    const { host, port } = settings["rpc-listen"];
    return {
        instanceId: settings["instance-id"],
        incarnation: randomBytes(6).toString("hex"),
        dataCentre: settings["data-centre"],
        rpcAddress: `${host}:${port}`,
        seed: settings.seed ?? randomBytes(4).readUInt32BE() >>> 1,
        maximumConnections: settings["max-connections"],
        maximumStatementBytes: settings["max-statement-bytes"],
        statementLimitMs: settings["statement-limit-ms"],
        confirmationLimitMs: settings["confirmation-limit-ms"],
    };
}

function openTrace(
    settings: EntrySettings,
    options: PipeOptions,
    stack: AsyncDisposableStack,
): readonly LoopObserver[] {
    const path = settings["record-trace"];
    if (path === undefined) {
        return [];
    }
    const writer = stack.use(new TraceFileWriter(path));
    return [new TraceRecorder(options, line => writer.write(line))];
}
