/** Builds the pipes of an entry instance, for a running process and for a replay. */
import { controlFilters } from "../control/controlPipe.ts";
import { EvacuationGuardFilter } from "../control/evacuationGuardFilter.ts";
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

/** A control member in the settings. */
export interface ControlMemberAddress {
    readonly instanceId: string;
    readonly address: string;
}

/** The options of all filters of an instance, in a form that can be stored in a trace. */
export interface PipeOptions {
    readonly instanceId: string;
    /** Unique for each start of the process. */
    readonly incarnation: string;
    readonly dataCentre: string;
    /** `host:port` at which other instances reach the gRPC listener. */
    readonly rpcAddress: string;
    readonly controlMembers: readonly ControlMemberAddress[];
    /** Incarnation of the data folder; undefined on an instance that is not a control member. */
    readonly memberIncarnation: string | undefined;
    /** Commands that are applied to a cluster that has no configuration yet. */
    readonly initialCommands: readonly Command[];
    readonly seed: number;
    readonly maximumConnections: number;
    readonly maximumStatementBytes: number;
    readonly statementLimitMs: number;
    readonly confirmationLimitMs: number;
}

/** Cryptographic functions that the filters use. */
export interface PipeCryptography {
    readonly verifier: ProofVerifier;
    readonly tokens: SessionTokenCodec;
}

/**
 * Builds the pipes, in the order in which they process each event.
 * @param recorder collects the figures of the burn report, which operators request
 */
export function buildPipes(
    options: PipeOptions,
    cryptography: PipeCryptography,
    recorder = new RecordOutcomesFilter(),
): readonly Pipe[] {
    return [
        buildControlPipe(options),
        buildHealthPipe(options),
        buildRequestPipe(options, cryptography),
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
        new EvacuationGuardFilter(),
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
    const commonFilters = [new Drain(), new DatabaseTable(), sender];
    const memberFilters = [
        new Leadership(),
        new DatabaseDirectory(),
        new LeaseAssigner({ incarnation }),
        new Failover(),
        new DemandReports(),
        new HeartbeatReplier(),
    ];
    return new Pipe("health", memberIncarnation === undefined ? commonFilters : [...commonFilters, ...memberFilters]);
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
