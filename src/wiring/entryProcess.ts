/** Creates and connects all parts of an entry instance. */
import "disposablestack/auto";
import type { Server } from "@grpc/grpc-js";
import { randomBytes } from "node:crypto";
import { MysqlAdapter } from "../backend/mysqlAdapter.ts";
import { MysqlBackend } from "../backend/mysqlBackend.ts";
import { MysqlFrontend } from "../frontend/mysqlFrontend.ts";
import { NativePasswordVerifier } from "../frontend/proofVerifier.ts";
import { HmacSessionTokenCodec } from "../frontend/sessionTokenCodec.ts";
import { ClusterKind } from "../model/clusterMessages.ts";
import type { Command } from "../model/controlMessages.ts";
import { HealthKind } from "../model/healthMessages.ts";
import { EventLoop, type LoopObserver } from "../pipeline/eventLoop.ts";
import type { Message } from "../pipeline/message.ts";
import { SeededRandom } from "../pipeline/seededRandom.ts";
import type { Sink } from "../pipeline/sink.ts";
import { TraceRecorder } from "../pipeline/trace.ts";
import { instanceSnapshotSchema } from "../report/instanceSnapshotSchema.ts";
import { RecordOutcomesFilter } from "../report/recordOutcomes.ts";
import { AnnouncementRpcServer } from "../rpc/announcementRpcServer.ts";
import { ConfigurationFeed } from "../rpc/configurationFeed.ts";
import { ConfigurationSubscriber } from "../rpc/configurationSubscriber.ts";
import { PermitsService } from "../rpc/generated/permits.ts";
import { HeartbeatRpcClient } from "../rpc/heartbeatRpcClient.ts";
import { HeartbeatRpcServer } from "../rpc/heartbeatRpcServer.ts";
import { HolderService } from "../rpc/holderService.ts";
import { HolderStreams } from "../rpc/holderStreams.ts";
import { LogTransport } from "../rpc/logTransport.ts";
import { OperatorService } from "../rpc/operatorService.ts";
import { PeerAuthentication } from "../rpc/peerAuthentication.ts";
import { createPeerServer, listen } from "../rpc/peerChannel.ts";
import { PeerClientFactory } from "../rpc/peerClientFactory.ts";
import { PermitClient } from "../rpc/permitClient.ts";
import { PermitServer } from "../rpc/permitServer.ts";
import type { EntrySettings } from "../settings/entrySettings.ts";
import { BurnReportFile } from "../storage/burnReportFile.ts";
import { MemberStorage } from "../storage/memberStorage.ts";
import { TraceFileWriter } from "../storage/traceFile.ts";
import { StatsdCounters } from "../telemetry/counters.ts";
import { EventCounters } from "../telemetry/eventCounters.ts";
import { createLogger, type Logger } from "../telemetry/logger.ts";
import { StateChangeLog } from "../telemetry/stateChangeLog.ts";
import { buildPipes, type PipeOptions } from "./buildPipes.ts";
import { InstanceStatusCollector } from "./instanceStatusCollector.ts";
import { ProcessTermination } from "./processTermination.ts";
import { SystemClock } from "./systemClock.ts";

/** Contents of the files that the settings name. */
export interface EntryInputs {
    readonly clusterSecret: string;
    readonly databasePassword: string;
    readonly initialCommands: readonly Command[];
}

export interface EntryProcess extends AsyncDisposable {
    /** Starts a graceful shutdown; a second call shuts down at once. */
    drain(): void;
    /** Resolves when the shutdown is complete; rejects if the instance cannot continue. */
    readonly ended: Promise<void>;
}

type Post = (message: Message) => void;

/** Objects that the parts of the instance share. */
interface EntryContext {
    readonly settings: EntrySettings;
    readonly inputs: EntryInputs;
    readonly options: PipeOptions;
    readonly clock: SystemClock;
    readonly logger: Logger;
    readonly post: Post;
    readonly clientFactory: PeerClientFactory;
    readonly stack: AsyncDisposableStack;
}

/** Starts an entry instance. Its disposal closes all parts in reverse order of their creation. */
export async function startEntry(settings: EntrySettings, inputs: EntryInputs): Promise<EntryProcess> {
    await using stack = new AsyncDisposableStack();
    const post: Post = message => loop.post(message);
    const logger = createLogger({
        format: settings["log-format"],
        level: settings["log-level"],
        instanceId: settings["instance-id"],
    });
    const storage = await openStorage(settings, post, logger, stack);
    const options = toPipeOptions(settings, inputs, storage);
    const clock = new SystemClock();
    const authentication = new PeerAuthentication({
        cluster: settings["cluster-name"],
        instanceId: settings["instance-id"],
        secret: inputs.clusterSecret,
    });
    const clientFactory = new PeerClientFactory({ authentication, translatedAddresses: settings["peer-addresses"] });
    const context = { settings, inputs, options, clock, logger, post, clientFactory, stack };
    const counters = stack.use(
        new StatsdCounters({ agent: settings.statsd, instanceId: settings["instance-id"] }),
    );
    const server = createPeerServer(authentication);
    const frontend = stack.use(
        new MysqlFrontend({ ...settings["mysql-listen"], post, serverVersion: "8.0.36-jasmineline" }),
    );
    const drain = createDrain(settings, clock, post);
    const recorder = await openRecorder(context);
    const managedInstance = new InstanceStatusCollector({ options, clock, counters, frontend, recorder, drain });
    const termination = new ProcessTermination(ClusterKind.DrainEnded);
    const sinks = [
        frontend,
        new StateChangeLog(logger),
        managedInstance,
        termination,
        ...storage === undefined ? [] : [storage],
        ...createBackendSinks(context),
        ...createPeerSinks(context, server),
        createOperatorService(context, server, managedInstance),
    ];
    const loop = stack.use(
        new EventLoop({
            clock,
            pipes: buildPipes(options, {
                verifier: new NativePasswordVerifier(),
                tokens: new HmacSessionTokenCodec(inputs.clusterSecret),
            }, recorder),
            sinks,
            observers: [new EventCounters(counters), managedInstance, ...createTraceObservers(context)],
        }),
    );
    const { host, port } = settings["rpc-listen"];
    await listen(server, `${host}:${port}`);
    stack.defer(() => server.forceShutdown());
    if (storage !== undefined) {
        post(storage.recovered);
    }
    post({ kind: HealthKind.HeartbeatDue });
    await frontend.listen();
    logger.info("started", { incarnation: options.incarnation, rpc: options.rpcAddress });
    const resources = stack.move();
    return {
        drain: () => {
            frontend.stopListening();
            drain();
        },
        ended: termination.promise,
        [Symbol.asyncDispose]: () => resources.disposeAsync(),
    };
}

async function openStorage(
    settings: EntrySettings,
    post: Post,
    logger: Logger,
    stack: AsyncDisposableStack,
): Promise<MemberStorage | undefined> {
    const folder = settings["data-folder"];
    if (folder === undefined) {
        return undefined;
    }
    const cluster = settings["cluster-name"];
    return stack.use(
        await MemberStorage.open({
            folder,
            cluster,
            memberId: settings["instance-id"],
            post,
            onOpenDelayed: reason => logger.warn("storage_open_delayed", { reason }),
        }),
    );
}

function toPipeOptions(
    settings: EntrySettings,
    inputs: EntryInputs,
    storage: MemberStorage | undefined,
): PipeOptions {
    const { host, port } = settings["rpc-listen"];
    const instanceId = settings["instance-id"];
    const controlMembers = settings["control-members"];
    const ownEntry = controlMembers.find(member => member.instanceId === instanceId);
    return {
        instanceId,
        incarnation: randomBytes(6).toString("hex"),
        dataCentre: settings["data-centre"],
        // Peers connect to a control member at the address in their settings.
        rpcAddress: ownEntry?.address ?? `${host}:${port}`,
        controlMembers,
        memberIncarnation: storage?.identity.incarnation,
        initialCommands: inputs.initialCommands,
        seed: settings.seed ?? randomBytes(4).readUInt32BE() >>> 1,
        maximumConnections: settings["max-connections"],
        maximumStatementBytes: settings["max-statement-bytes"],
        statementLimitMs: settings["statement-limit-ms"],
        confirmationLimitMs: settings["confirmation-limit-ms"],
    };
}

function createBackendSinks({ settings, inputs, post, stack }: EntryContext): readonly Sink[] {
    const adapter = new MysqlAdapter({ user: settings["database-user"], password: inputs.databasePassword });
    return [stack.use(new MysqlBackend({ adapter, post }))];
}

/** Creates the clients and services for other instances and for announcing databases. */
function createPeerSinks(context: EntryContext, server: Server): readonly Sink[] {
    const { settings, options, clock, post, clientFactory, stack } = context;
    // The server authenticates each call before it reaches a service.
    const announcements = new AnnouncementRpcServer({ cluster: settings["cluster-name"], post });
    const heartbeats = new HeartbeatRpcServer({ post });
    const holderService = stack.use(new HolderService({ post, nowMs: () => clock.nowMs() }));
    const permitServer = new PermitServer({ post });
    server.addService(announcements.service, announcements.implementation);
    server.addService(heartbeats.service, heartbeats.implementation);
    server.addService(PermitsService, permitServer.handlers);
    holderService.register(server);
    return [
        heartbeats,
        holderService,
        permitServer,
        stack.use(new HeartbeatRpcClient({ clientFactory, post })),
        stack.use(new HolderStreams({ clientFactory, post })),
        stack.use(new PermitClient({ post, clientFactory, instanceId: options.instanceId })),
        ...createControlSinks(context, server),
    ];
}

/** Control members replicate their log and serve the configuration feed; all other instances subscribe to the feed. */
function createControlSinks(
    { options, post, clientFactory, stack }: EntryContext,
    server: Server,
): readonly Sink[] {
    if (options.memberIncarnation === undefined) {
        const addresses = options.controlMembers.map(member => member.address);
        const random = new SeededRandom(options.seed + 4);
        const subscriber = stack.use(
            new ConfigurationSubscriber({ clientFactory, addresses, post, random }),
        );
        subscriber.start();
        return [subscriber];
    }
    const logTransport = stack.use(new LogTransport({ clientFactory, post }));
    const feed = stack.use(new ConfigurationFeed({ post }));
    logTransport.register(server);
    feed.register(server);
    return [logTransport, feed];
}

function createOperatorService(
    { options, post }: EntryContext,
    server: Server,
    managedInstance: InstanceStatusCollector,
): Sink {
    const operators = new OperatorService({ instanceId: options.instanceId, post, managedInstance });
    operators.register(server);
    return operators;
}

/** With a data folder, the figures of the burn report survive a restart, except for the last few seconds. */
async function openRecorder({ settings, options, clock, logger, stack }: EntryContext): Promise<RecordOutcomesFilter> {
    const recorder = new RecordOutcomesFilter();
    const folder = settings["data-folder"];
    if (folder !== undefined) {
        const file = new BurnReportFile({
            folder,
            createSnapshot: () => recorder.snapshot(options.instanceId, clock.nowMs()),
            parseSnapshot: value => instanceSnapshotSchema.parse(value),
            onFailure: reason => logger.warn("storage_burn_report_failed", { reason }),
        });
        const saved = await file.read();
        if (saved !== undefined) {
            recorder.restore(saved.snapshot, saved.elapsedMs, clock.nowMs());
        }
        file.start();
        stack.use(file);
    }
    return recorder;
}

function createTraceObservers({ settings, options, stack }: EntryContext): readonly LoopObserver[] {
    const path = settings["record-trace"];
    if (path === undefined) {
        return [];
    }
    const writer = stack.use(new TraceFileWriter(path));
    return [new TraceRecorder(options, line => writer.write(line))];
}

function createDrain(settings: EntrySettings, clock: SystemClock, post: Post): () => void {
    return () => {
        const deadlineMs = clock.nowMs() + settings["drain-limit-ms"];
        post({ kind: ClusterKind.DrainStarted, deadlineMs } as Message);
    };
}
