/** Creates and connects the parts of the processes that run on the users' platform: proxies and control members. */
import "disposablestack/auto";
import { ControlKind } from "../model/controlMessages.ts";
import { FeedKind } from "../model/feedMessages.ts";
import { type DatabasesRemembered, FleetKind } from "../model/fleetMessages.ts";
import { Pace } from "../model/pace.ts";
import { PeerKind } from "../model/peerMessages.ts";
import { SchedulingKind } from "../model/schedulingMessages.ts";
import { SessionKind } from "../model/sessionMessages.ts";
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
import { ExplanationService } from "../rpc/explanationService.ts";
import { FleetAcceptor } from "../rpc/fleetAcceptor.ts";
import { FleetConnector } from "../rpc/fleetConnector.ts";
import { LogTransport } from "../rpc/logTransport.ts";
import { PeerAuthentication } from "../rpc/peerAuthentication.ts";
import { createPeerServer, listen, longestShutdownMs, shutDownServer } from "../rpc/peerChannel.ts";
import { PeerClientFactory } from "../rpc/peerClientFactory.ts";
import { TaskStreams } from "../rpc/taskStreams.ts";
import { DatabaseListFile } from "../storage/databaseListFile.ts";
import { MemberStorage } from "../storage/memberStorage.ts";
import { StatsdCounters, type StatsdCountersOptions } from "../telemetry/counters.ts";
import { EffectLog } from "../telemetry/effectLog.ts";
import { EventLog } from "../telemetry/eventLog.ts";
import { LoadLog } from "../telemetry/loadLog.ts";
import { createLogger, type Logger } from "../telemetry/logger.ts";
import { PolicyIncompleteLog } from "../telemetry/policyIncompleteLog.ts";
import { PromotionCounters } from "../telemetry/promotionCounters.ts";
import { afterPendingInput } from "./afterPendingInput.ts";
import { decisionLog } from "./decisionLogFormatters.ts";
import {
    linkLogFormatters,
    loggedEffects,
    requestLogFormatters,
    stateLogFormatters,
    stopLogFormatters,
} from "./eventLogFormatters.ts";
import { LeadHandOver } from "./leadHandOver.ts";
import { buildMemberPipes, buildProxyPipes } from "./platformPipes.ts";
import { ProcessTermination } from "./processTermination.ts";
import { StopDeadline } from "./stopDeadline.ts";
import { SuspendAwareClock } from "./suspendAwareClock.ts";

const clusterName = "jasmineline";

/** Limit of log lines for changes of state: a configuration makes up to three, and 20 a second may arrive. */
const stateLinesPerSecond = 60;

/** Limit of log lines for statements prepared on links, each of which a caller can cause with one message. */
const linkLinesPerSecond = 2;

/**
 * Time after the stop signal for which the platform still sends new callers to this process: two of its readiness
 * probes.
 */
const readinessPropagationMs = 2_400;

/** Time between the planned end of the process and the time at which the platform kills it. */
const shutdownMarginMs = 400;

/** Time that is left for the connections of callers, and for the exit, after the streams of other instances ended. */
const callersClosingMs = 300;

/** Longest time for callers that connect at the end of a stop to be refused; links that are full hold up a CONNECT. */
const longestRefusalMs = 1_000;

/** Time for the last answers to reach callers and other instances; on slow links, this takes a tenth of a second. */
const lastAnswersTransferMs = 200;

export interface PlatformProcess extends AsyncDisposable {
    /** Starts a graceful shutdown. */
    drain(): void;
    /** Applies settings that changed while the process is running; if they cannot be read, the old ones stay in force. */
    reload(readSettings: () => PlatformSettings): void;
    readonly ended: Promise<void>;
}

export interface PlatformInputs {
    readonly settings: PlatformSettings;
    readonly clusterSecret: string;
    readonly seed: number;
    /** Off by default. */
    readonly pace?: Pace;
    /** Address of the metrics agent; none by default. */
    readonly statsd?: StatsdCountersOptions["agent"];
}

interface ProcessContext extends PlatformInputs {
    readonly clock: SuspendAwareClock;
    readonly stopDeadline: StopDeadline;
    readonly post: (message: Message) => void;
    readonly clientFactory: PeerClientFactory;
    readonly authentication: PeerAuthentication;
    readonly logger: Logger;
    readonly loadLog: LoadLog;
    readonly stack: AsyncDisposableStack;
}

/** Starts a control member if the settings contain a control listener, and a proxy otherwise. */
export async function startPlatformProcess(inputs: PlatformInputs): Promise<PlatformProcess> {
    await using stack = new AsyncDisposableStack();
    const { settings, clusterSecret } = inputs;
    const isControlMember = settings.controlEndpoint !== undefined;
    // The settings identify control members by host, so the host is the instance id of a control member.
    const instanceId = isControlMember ? settings.host : settings.instanceId;
    const authentication = new PeerAuthentication({ cluster: clusterName, instanceId, secret: clusterSecret });
    const clientFactory = new PeerClientFactory({ authentication });
    const logger = createLogger({ format: "json", level: "info", instanceId: settings.instanceId });
    const loadLog = stack.use(new LoadLog(logger));
    const counters = stack.use(new StatsdCounters({ agent: inputs.statsd, instanceId: settings.instanceId }));
    const clock = new SuspendAwareClock();
    const stopDeadline = new StopDeadline(clock);
    const post = (message: Message): void => loop.post(message);
    const context: ProcessContext = {
        ...inputs,
        clock,
        stopDeadline,
        post,
        clientFactory,
        authentication,
        logger,
        loadLog,
        stack,
    };
    const termination = new ProcessTermination(FleetKind.Drained);
    const { pipes, sinks, start, finishCalls, refuseLastCallers } = isControlMember
        ? await buildControlMember(context)
        : await buildProxy(context);
    const effectLogs = [
        { formatters: requestLogFormatters },
        { formatters: stateLogFormatters },
        { formatters: linkLogFormatters, linesPerSecond: linkLinesPerSecond },
        { formatters: stopLogFormatters },
        decisionLog,
    ].map(options =>
        new EffectLog({ logger, accepts: loggedEffects.filter(kind => options.formatters.has(kind)), ...options })
    );
    const incompleteLog = new PolicyIncompleteLog(logger);
    const loop = stack.use(
        new EventLoop({
            clock,
            pipes,
            sinks: [...sinks, ...effectLogs, incompleteLog, termination, new UnusedMessageSink(pipes, sinks)],
            observers: [
                new EventLog({ logger, formatters: requestLogFormatters }),
                new EventLog({ logger, formatters: stateLogFormatters, linesPerSecond: stateLinesPerSecond }),
                new EventLog({ logger, ...decisionLog }),
                new PromotionCounters(counters),
                loadLog,
            ],
        }),
    );
    await start();
    logger.info("started", { control: isControlMember, address: settings.rpcAddress });
    const resources = stack.move();
    return {
        drain: () => {
            logger.info("draining");
            stopDeadline.start(settings.terminationGracePeriodMs);
            const drained = finishCalls?.();
            if (drained === undefined) {
                startProxyDrain(context, termination);
            }
            else {
                void drained.then(() => termination.deliver({ kind: FleetKind.Drained }));
            }
        },
        reload: readSettings => {
            try {
                const { seeds } = readSettings();
                post({ kind: ControlKind.SeedsChanged, seeds } as Message);
                logger.info("reloaded", { seeds: seeds.map(({ address }) => address).join(",") });
            }
            catch (error) {
                logger.error("reload_refused", { reason: (error as Error).message });
            }
        },
        ended: termination.promise.then(() => refuseLastCallers?.()),
        [Symbol.asyncDispose]: () => resources.disposeAsync(),
    };
}

interface ProcessComponents {
    readonly pipes: readonly Pipe[];
    readonly sinks: readonly Sink[];
    /** Opens the listeners and posts the initial events. */
    start(): Promise<void>;
    /**
     * Resolves when no call is in progress and the lead is handed over; undefined for a proxy, which ends with its last
     * session.
     */
    readonly finishCalls?: () => Promise<void>;
    /** Closes the listener for callers, and resolves when those that have just connected are refused. */
    readonly refuseLastCallers?: () => Promise<void>;
}

async function buildProxy(context: ProcessContext): Promise<ProcessComponents> {
    const { settings, stopDeadline, post, clientFactory, authentication, seed, logger, loadLog, stack } = context;
    const { pace = Pace.Off } = context;
    const { instanceId, dataCentre, dataCentreRegions, rpcAddress, callerEndpoint, readinessEndpoint } = settings;
    const seeds = settings.seeds.map(({ address }) => address);
    const { coldTolerance, evacuationBoundMs } = settings;
    const pipes = buildProxyPipes({
        instanceId,
        dataCentre,
        dataCentreRegions,
        coldTolerance,
        evacuationBoundMs,
        pace,
        rpcAddress,
        seed: seed + 2,
    });
    const server = stack.use(new WireServer({ ...callerEndpoint!, post }));
    const readinessServer = stack.use(new ReadinessServer());
    const random = new SeededRandom(seed);
    const subscriber = stack.use(
        new ConfigurationSubscriber({ clientFactory, addresses: seeds, post, random }),
    );
    const connector = createConnector(context);
    const peerServer = createPeerServer(authentication);
    // Runs after the disposal of the task streams, so that their last results are sent first.
    stack.defer(() => shutDownServer(peerServer, stopDeadline.limitMs(longestShutdownMs, callersClosingMs)));
    const streams = stack.use(new TaskStreams({ clientFactory, post, traffic: loadLog }));
    streams.register(peerServer);
    const explanations = new ExplanationService({ instanceId, post });
    explanations.register(peerServer);
    const sinks: readonly Sink[] = [
        server,
        streams,
        explanations,
        stack.use(new WireClient({ post })),
        readinessServer,
        subscriber,
        connector,
    ];
    return {
        pipes,
        sinks,
        refuseLastCallers: async () => {
            await server.stopAccepting(stopDeadline.limitMs(longestRefusalMs, shutdownMarginMs));
            const { connectionCount, crossedCount, discardedBytes } = server;
            logger.info("stopped_accepting", { connections: connectionCount, crossed: crossedCount, discardedBytes });
        },
        start: async () => {
            await listen(peerServer, rpcAddress);
            await server.listen();
            if (readinessEndpoint !== undefined) {
                await readinessServer.listen(readinessEndpoint);
            }
            subscriber.start();
            post({ kind: ControlKind.SeedsChanged, seeds: settings.seeds } as Message);
        },
    };
}

async function buildControlMember(context: ProcessContext): Promise<ProcessComponents> {
    const { settings, post, clientFactory, authentication, seed, loadLog, logger, stack } = context;
    const {
        host,
        rpcAddress,
        dataFolder,
        controlEndpoint,
        promotionOrderAddress,
        instanceId,
        dataCentre,
        dataCentres,
        dataCentreRegions,
        reportIntervalMs,
        faultTolerance,
    } = settings;
    const storage = stack.use(
        await MemberStorage.open({
            folder: dataFolder!,
            cluster: clusterName,
            memberId: host,
            post,
            lockFolder: false,
            onOpenDelayed: reason => logger.warn("storage.open_delayed", { reason }),
        }),
    );
    const databaseList = stack.use(
        new DatabaseListFile({
            folder: dataFolder!,
            onFailure: reason => logger.warn("storage.database_list_failed", { reason }),
        }),
    );
    const rememberedDatabases = await databaseList.read();
    const self = { memberId: host, address: rpcAddress, incarnation: storage.identity.incarnation };
    const pipes = buildMemberPipes({
        self,
        initialMembers: settings.seeds,
        dataCentre,
        dataCentres,
        dataCentreRegions,
        canFormCluster: settings.isBootstrap,
        faultTolerance,
        rateTolerance: settings.rateTolerance,
        coldTolerance: settings.coldTolerance,
        reportIntervalMs,
        evacuationBoundMs: settings.evacuationBoundMs,
        seed,
    });
    const server = createPeerServer(authentication);
    const acceptor = stack.use(new FleetAcceptor({ post, traffic: loadLog }));
    const logTransport = stack.use(new LogTransport({ clientFactory, post }));
    const feed = stack.use(new ConfigurationFeed({ post }));
    acceptor.register(server);
    logTransport.register(server);
    feed.register(server);
    const controlServer = stack.use(new ControlServer({ ...controlEndpoint!, post }));
    const connector = createConnector(context);
    const leadHandOver = new LeadHandOver(post);
    const sinks: Sink[] = [
        storage,
        databaseList,
        leadHandOver,
        acceptor,
        logTransport,
        feed,
        connector,
        controlServer,
        stack.use(new WireClient({ post })),
    ];
    if (promotionOrderAddress !== undefined) {
        sinks.push(new PromotionOrderClient({ address: promotionOrderAddress, holder: instanceId, post }));
    }
    return {
        pipes,
        sinks,
        finishCalls: async () => {
            await controlServer.stop();
            await leadHandOver.complete();
        },
        start: async () => {
            await listen(server, rpcAddress);
            stack.defer(() => server.forceShutdown());
            await controlServer.listen();
            post(storage.recovered);
            post({ kind: FleetKind.DatabasesRemembered, reports: rememberedDatabases } as DatabasesRemembered);
            post({ kind: ControlKind.SeedsChanged, seeds: settings.seeds } as Message);
        },
    };
}

/** Creates the connector for the attachments to the control members. */
function createConnector(
    { settings, clientFactory, post, seed, loadLog, stack }: ProcessContext,
): FleetConnector {
    return stack.use(
        new FleetConnector({
            clientFactory,
            post,
            random: new SeededRandom(seed + 1),
            traffic: loadLog,
            ownAddress: settings.rpcAddress,
        }),
    );
}

/**
 * Starts the drain of a proxy. The process ends when its last session and the last task of another instance have ended,
 * or at the latest shortly before the platform kills it.
 */
function startProxyDrain({ settings, clock, post }: ProcessContext, termination: ProcessTermination): void {
    const drain = {
        kind: FleetKind.DrainStarted,
        transactionsUntilMs: clock.nowMs() + settings.terminationGracePeriodMs / 2,
        answersUntilMs: clock.nowMs() + settings.terminationGracePeriodMs - shutdownMarginMs - lastAnswersTransferMs,
    };
    post({ ...drain, final: false } as Message);
    afterPendingInput(readinessPropagationMs, () => post({ ...drain, final: true } as Message));
    setTimeout(
        () => termination.deliver({ kind: FleetKind.Drained }),
        settings.terminationGracePeriodMs - shutdownMarginMs,
    );
}

/** Accepts the messages that are used only in some kinds of processes, and have no receiver in this one. */
class UnusedMessageSink implements Sink {
    readonly accepts: readonly string[];

    constructor(pipes: readonly Pipe[], sinks: readonly Sink[]) {
        const optionalKinds = [
            ...Object.values(FleetKind),
            PeerKind.InstancesKnown,
            PeerKind.FrameRefused,
            PeerKind.LoadIgnored,
            SessionKind.MessageRefused,
            SessionKind.AnswerRefused,
            ...Object.values(SchedulingKind),
            FeedKind.Opened,
            FeedKind.Lost,
            ControlKind.ProposalEnded,
            ControlKind.LeaderChanged,
            ControlKind.MembersAgreed,
        ];
        const handledKinds = new Set([
            ...pipes.flatMap(pipe => [...pipe.accepts]),
            ...sinks.flatMap(sink => [...sink.accepts]),
        ]);
        this.accepts = optionalKinds.filter(kind => !handledKinds.has(kind));
    }

    deliver(): void {
        // The message has no receiver in this process.
    }
}
