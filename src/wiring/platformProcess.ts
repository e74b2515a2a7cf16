/** Wires the processes that run on the users' platform: the proxy for callers, and control members. */
import "disposablestack/auto";
import { ControlKind } from "../model/controlMessages.ts";
import { FleetKind } from "../model/fleetMessages.ts";
import { PeerKind } from "../model/peerMessages.ts";
import { EventLoop } from "../pipeline/eventLoop.ts";
import type { Message } from "../pipeline/message.ts";
import type { Pipe } from "../pipeline/pipe.ts";
import { SeededRandom } from "../pipeline/seededRandom.ts";
import type { Sink } from "../pipeline/sink.ts";
import { ControlServer } from "../platform/controlServer.ts";
import type { PlatformSettings } from "../platform/platformSettings.ts";
import { PromotionOrderClient } from "../platform/promotionOrderClient.ts";
import { ReadinessServer } from "../platform/readinessServer.ts";
import { WireClient } from "../platform/wireClient.ts";
import { WireServer } from "../platform/wireServer.ts";
import { ConfigurationFeed } from "../rpc/configurationFeed.ts";
import { ConfigurationSubscriber } from "../rpc/configurationSubscriber.ts";
import { FleetAcceptor } from "../rpc/fleetAcceptor.ts";
import { FleetConnector } from "../rpc/fleetConnector.ts";
import { LogTransport } from "../rpc/logTransport.ts";
import { PeerAuthentication } from "../rpc/peerAuthentication.ts";
import { createPeerServer, listen, shutDownServer } from "../rpc/peerChannel.ts";
import { PeerClientFactory } from "../rpc/peerClientFactory.ts";
import { TaskStreams } from "../rpc/taskStreams.ts";
import { MemberStorage } from "../storage/memberStorage.ts";
import { EventLog } from "../telemetry/eventLog.ts";
import { LoadLog } from "../telemetry/loadLog.ts";
import { createLogger, type Logger } from "../telemetry/logger.ts";
import { decisionLogWriters } from "./decisionLogWriters.ts";
import { buildMemberPipes, buildProxyPipes } from "./platformPipes.ts";
import { ProcessTermination } from "./processTermination.ts";
import { SuspendAwareClock } from "./suspendAwareClock.ts";

const clusterName = "jasmineline";

/** Time after the signal to stop for which the platform still sends new callers here: two of its questions. */
const newCallersMs = 2_400;

/** Kept between the end of the process and the kill. */
const stopMarginMs = 400;

/** Time for the last answers to reach callers and other instances; slow links take a tenth of a second. */
const lastAnswersMs = 200;

export interface PlatformProcess extends AsyncDisposable {
    /** Starts the graceful shutdown. */
    drain(): void;
    /** Applies settings that changed while the process runs. */
    reload(settings: PlatformSettings): void;
    readonly ended: Promise<void>;
}

export interface PlatformInputs {
    readonly settings: PlatformSettings;
    readonly clusterSecret: string;
    readonly seed: number;
}

interface Parts extends PlatformInputs {
    readonly clock: SuspendAwareClock;
    readonly post: (message: Message) => void;
    readonly clientFactory: PeerClientFactory;
    readonly authentication: PeerAuthentication;
    readonly logger: Logger;
    readonly load: LoadLog;
    readonly stack: AsyncDisposableStack;
}

/** Starts what the settings of this machine ask for. */
export async function startPlatformProcess(inputs: PlatformInputs): Promise<PlatformProcess> {
    await using stack = new AsyncDisposableStack();
    const { settings, clusterSecret } = inputs;
    const control = settings.controlEndpoint !== undefined;
    // Control members are known by their hosts, because the settings name them so.
    const instanceId = control ? settings.host : settings.instanceId;
    const authentication = new PeerAuthentication({ cluster: clusterName, instanceId, secret: clusterSecret });
    const clientFactory = new PeerClientFactory({ authentication });
    const logger = createLogger({ format: "json", level: "info", instanceId: settings.instanceId });
    const load = stack.use(new LoadLog(logger));
    const clock = new SuspendAwareClock();
    const post = (message: Message): void => loop.post(message);
    const parts: Parts = { ...inputs, clock, post, clientFactory, authentication, logger, load, stack };
    const end = new ProcessTermination(FleetKind.Drained);
    const { pipes, sinks, started, stopped } = control
        ? await buildControl(parts)
        : await buildProxy(parts);
    const log = new EventLog({ logger, formatters: decisionLogWriters });
    const loop = stack.use(
        new EventLoop({ clock, pipes, sinks: [...sinks, end, new IgnoreRest(pipes, sinks)], observers: [log, load] }),
    );
    await started();
    logger.info("started", { control, address: settings.rpcAddress });
    const opened = stack.move();
    return {
        drain: () => {
            logger.info("draining");
            const drained = stopped?.();
            if (drained === undefined) {
                startDrain(parts, end);
            }
            else {
                void drained.then(() => end.deliver({ kind: FleetKind.Drained }));
            }
        },
        reload: changed => {
            post({ kind: ControlKind.SeedsChanged, seeds: changed.seeds } as Message);
            logger.info("reloaded", { seeds: changed.seeds.map(({ address }) => address).join(",") });
        },
        ended: end.promise,
        [Symbol.asyncDispose]: () => opened.disposeAsync(),
    };
}

interface Built {
    readonly pipes: readonly Pipe[];
    readonly sinks: readonly Sink[];
    /** Opens the listeners and posts the first events. */
    started(): Promise<void>;
    /** Resolves when nothing is under way; undefined where the end of the sessions tells it. */
    readonly stopped?: () => Promise<void>;
}

async function buildProxy(parts: Parts): Promise<Built> {
    const { settings, post, clientFactory, authentication, seed, load, stack } = parts;
    const { instanceId, dataCentre, callerEndpoint: callers, readinessEndpoint: readiness } = settings;
    const seeds = settings.seeds.map(({ address }) => address);
    const pipes = buildProxyPipes({ instanceId, dataCentre, rpcAddress: settings.rpcAddress, seed: seed + 2 });
    const server = stack.use(new WireServer({ ...callers!, post }));
    const readinessServer = stack.use(new ReadinessServer());
    const random = new SeededRandom(seed);
    const subscriber = stack.use(
        new ConfigurationSubscriber({ clientFactory, addresses: seeds, post, random }),
    );
    const connector = connect(parts);
    const peerServer = createPeerServer(authentication);
    // Comes after the end of the streams, so that their last results are out.
    stack.defer(() => shutDownServer(peerServer));
    const streams = stack.use(new TaskStreams({ clientFactory, post, traffic: load }));
    streams.register(peerServer);
    const sinks: readonly Sink[] = [
        server,
        streams,
        stack.use(new WireClient({ post })),
        readinessServer,
        subscriber,
        connector,
    ];
    return {
        pipes,
        sinks,
        started: async () => {
            await listen(peerServer, settings.rpcAddress);
            await server.listen();
            if (readiness !== undefined) {
                await readinessServer.listen(readiness);
            }
            subscriber.start();
            post({ kind: FleetKind.MembersKnown, addresses: seeds } as Message);
        },
    };
}

async function buildControl(parts: Parts): Promise<Built> {
    const { settings, post, clientFactory, authentication, seed, load, stack } = parts;
    const {
        host,
        rpcAddress,
        dataFolder,
        controlEndpoint: control,
        promotionOrderAddress: ordersAddress,
        instanceId,
        dataCentre,
        reportIntervalMs,
        faultTolerance: tolerance,
    } = settings;
    const storage = stack.use(
        await MemberStorage.open({
            folder: dataFolder!,
            cluster: clusterName,
            memberId: host,
            post,
            lockFolder: false,
        }),
    );
    const self = { memberId: host, address: rpcAddress, incarnation: storage.identity.incarnation };
    const pipes = buildMemberPipes({
        self,
        initialMembers: settings.seeds,
        dataCentre,
        canFormCluster: settings.isBootstrap,
        faultTolerance: tolerance,
        rateTolerance: settings.rateTolerance,
        reportIntervalMs,
        seed,
    });
    const server = createPeerServer(authentication);
    const acceptor = stack.use(new FleetAcceptor({ post, traffic: load }));
    const logTransport = stack.use(new LogTransport({ clientFactory, post }));
    const feed = stack.use(new ConfigurationFeed({ post }));
    acceptor.register(server);
    logTransport.register(server);
    feed.register(server);
    const controlServer = stack.use(new ControlServer({ ...control!, post }));
    const connector = connect(parts);
    const sinks: Sink[] = [
        storage,
        acceptor,
        logTransport,
        feed,
        connector,
        controlServer,
        stack.use(new WireClient({ post })),
    ];
    if (ordersAddress !== undefined) {
        sinks.push(new PromotionOrderClient({ address: ordersAddress, holder: instanceId, post }));
    }
    return {
        pipes,
        sinks,
        stopped: () => controlServer.stop(),
        started: async () => {
            await listen(server, rpcAddress);
            stack.defer(() => server.forceShutdown());
            await controlServer.listen();
            post(storage.recovered);
            const addresses = settings.seeds.map(({ address }) => address);
            post({ kind: FleetKind.MembersKnown, addresses } as Message);
        },
    };
}

/** Attachments to the control members. */
function connect({ settings, clientFactory, post, seed, load, stack }: Parts): FleetConnector {
    return stack.use(
        new FleetConnector({
            clientFactory,
            post,
            random: new SeededRandom(seed + 1),
            traffic: load,
            ownAddress: settings.rpcAddress,
        }),
    );
}

/** A proxy ends with its last session and the last task of another instance, or before the kill. */
function startDrain({ settings, clock, post }: Parts, end: ProcessTermination): void {
    const drain = {
        kind: FleetKind.DrainStarted,
        transactionsUntilMs: clock.nowMs() + settings.terminationGracePeriodMs / 2,
        answersUntilMs: clock.nowMs() + settings.terminationGracePeriodMs - stopMarginMs - lastAnswersMs,
    };
    post({ ...drain, final: false } as Message);
    setTimeout(() => post({ ...drain, final: true } as Message), newCallersMs);
    setTimeout(() => end.deliver({ kind: FleetKind.Drained }), settings.terminationGracePeriodMs - stopMarginMs);
}

/** Takes the messages that only some processes have a use for. */
class IgnoreRest implements Sink {
    readonly accepts: readonly string[];

    constructor(pipes: readonly Pipe[], sinks: readonly Sink[]) {
        const optional = [
            ...Object.values(FleetKind),
            PeerKind.InstancesKnown,
            ControlKind.ProposalEnded,
            ControlKind.LeaderChanged,
            ControlKind.MembersAgreed,
            ControlKind.SeedsChanged,
        ];
        const taken = new Set([
            ...pipes.flatMap(pipe => [...pipe.accepts]),
            ...sinks.flatMap(sink => [...sink.accepts]),
        ]);
        this.accepts = optional.filter(kind => !taken.has(kind));
    }

    deliver(): void {
        // Nothing here needs the message.
    }
}
