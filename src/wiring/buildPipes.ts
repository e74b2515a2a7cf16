/** Builds the pipes of an instance. The same function serves a live process and a replay. */
import { controlFilters } from "../control/controlPipe.ts";
import { InitialCommandsFilter } from "../control/initialCommandsFilter.ts";
import { ProposalRefusalFilter } from "../control/proposalRefusalFilter.ts";
import { SubscriptionFilter } from "../control/subscriptionFilter.ts";
import { DatabaseDirectory } from "../health/databaseDirectory.ts";
import { DatabaseTable } from "../health/databaseTable.ts";
import { DemandReports } from "../health/demandReports.ts";
import { Drain } from "../health/drain.ts";
import { Failover } from "../health/failover.ts";
import { HeartbeatReplier } from "../health/heartbeatReplier.ts";
import { HeartbeatSender } from "../health/heartbeatSender.ts";
import { Leadership } from "../health/leadership.ts";
import { LeaseAssigner } from "../health/leaseAssigner.ts";
import { holderFilters } from "../holder/holderFilters.ts";
import { defaultHolderSettings, type HolderSettings } from "../holder/holderSettings.ts";
import type { Command } from "../model/controlMessages.ts";
import { Pipe } from "../pipeline/pipe.ts";
import { SeededRandom } from "../pipeline/seededRandom.ts";
import { DivideRateFilter } from "../rates/divideRate.ts";
import { GrantPermitsFilter } from "../rates/grantPermits.ts";
import { RecordOutcomesFilter } from "../report/recordOutcomes.ts";
import { AcceptFilter } from "../request/accept.ts";
import { AdmitFilter } from "../request/admit.ts";
import { AnswerFilter } from "../request/answer.ts";
import { AuthenticateFilter, type ProofVerifier } from "../request/authenticate.ts";
import { ClassifyFilter } from "../request/classify.ts";
import { ReportStatementsFilter } from "../request/reportStatements.ts";
import { RouteFilter } from "../request/route.ts";
import type { SessionTokenCodec } from "../request/sessionState.ts";

/** A control member as the settings name it. */
export interface ControlMemberAddress {
    readonly instanceId: string;
    readonly address: string;
}

/** What the filters of an instance depend on, in a form that a trace can hold. */
export interface PipeOptions {
    readonly instanceId: string;
    /** Differs with each start of the process. */
    readonly incarnation: string;
    readonly dataCentre: string;
    /** `host:port` of the gRPC listener as other instances reach it. */
    readonly rpcAddress: string;
    readonly controlMembers: readonly ControlMemberAddress[];
    /** Incarnation of the data folder; undefined on an instance that keeps no control state. */
    readonly memberIncarnation: string | undefined;
    /** Commands for a cluster that was never configured. */
    readonly initialCommands: readonly Command[];
    readonly seed: number;
    readonly maximumConnections: number;
    readonly maximumStatementBytes: number;
    readonly statementLimitMs: number;
    readonly confirmationLimitMs: number;
}

/** The two pieces of cryptography that the filters use. */
export interface PipeCryptography {
    readonly verifier: ProofVerifier;
    readonly tokens: SessionTokenCodec;
}

/**
 * Builds the pipes, in the order in which each event visits them.
 * @param recorder keeps the figures of the burn report, which operators ask for
 */
export function buildPipes(
    options: PipeOptions,
    secrets: PipeCryptography,
    recorder = new RecordOutcomesFilter(),
): readonly Pipe[] {
    return [
        buildControlPipe(options),
        buildHealthPipe(options),
        buildRequestPipe(options, secrets),
        buildRatePipe(options),
        buildHolderPipe(options),
        new Pipe("report", [recorder]),
    ];
}

function buildControlPipe(options: PipeOptions): Pipe {
    const { instanceId, rpcAddress, controlMembers, memberIncarnation, initialCommands, seed } = options;
    if (memberIncarnation === undefined) {
        return new Pipe("control", [new ProposalRefusalFilter(), new SubscriptionFilter()]);
    }
    const self = { memberId: instanceId, address: rpcAddress, incarnation: memberIncarnation };
    const initialMembers = controlMembers.map(member => ({ memberId: member.instanceId, address: member.address }));
    const random = new SeededRandom(seed + 3);
    return new Pipe("control", [
        new InitialCommandsFilter(initialCommands),
        ...controlFilters({ self, initialMembers, random }),
    ]);
}

function buildHealthPipe(options: PipeOptions): Pipe {
    const { instanceId, incarnation, dataCentre, rpcAddress, controlMembers, memberIncarnation } = options;
    const sender = new HeartbeatSender({
        instanceId,
        incarnation,
        dataCentre,
        address: rpcAddress,
        controlAddresses: controlMembers.map(member => member.address),
    });
    const ofEveryInstance = [new Drain(), new DatabaseTable(), sender];
    const ofMembers = [
        new Leadership(),
        new DatabaseDirectory(),
        new LeaseAssigner({ incarnation }),
        new Failover(),
        new DemandReports(),
        new HeartbeatReplier(),
    ];
    return new Pipe("health", memberIncarnation === undefined ? ofEveryInstance : [...ofEveryInstance, ...ofMembers]);
}

function buildRequestPipe(options: PipeOptions, { verifier, tokens }: PipeCryptography): Pipe {
    return new Pipe("request", [
        new AcceptFilter(options),
        new AuthenticateFilter(verifier),
        new ClassifyFilter(),
        new AdmitFilter(options),
        new RouteFilter({ ...options, tokenCodec: tokens, random: new SeededRandom(options.seed) }),
        new ReportStatementsFilter(),
        new AnswerFilter(),
    ]);
}

function buildRatePipe({ dataCentre, memberIncarnation }: PipeOptions): Pipe {
    const grant = new GrantPermitsFilter({ dataCentre });
    return new Pipe("rates", memberIncarnation === undefined ? [grant] : [grant, new DivideRateFilter()]);
}

function buildHolderPipe({ seed, statementLimitMs, confirmationLimitMs }: PipeOptions): Pipe {
    const settings: HolderSettings = { ...defaultHolderSettings, statementLimitMs, confirmationLimitMs };
    return new Pipe("holder", holderFilters(settings, seed));
}
