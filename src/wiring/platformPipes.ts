/** Builds the pipes of the processes that run on the users' platform, in the order in which they process each event. */
import { controlFilters } from "../control/controlPipe.ts";
import type { InitialMember } from "../control/formationFilter.ts";
import { SubscriptionFilter } from "../control/subscriptionFilter.ts";
import { AttachmentHub } from "../fleet/attachmentHub.ts";
import { Attachments } from "../fleet/attachments.ts";
import { ColdBudgets } from "../fleet/coldBudgets.ts";
import { ColdRequester } from "../fleet/coldRequester.ts";
import { ConfigurationDocuments } from "../fleet/configurationDocuments.ts";
import { ConfigurationProofs } from "../fleet/configurationProofs.ts";
import { DatabaseRecall } from "../fleet/databaseRecall.ts";
import { EvacuationOrders } from "../fleet/evacuationOrders.ts";
import { FleetDatabaseDirectory } from "../fleet/fleetDatabaseDirectory.ts";
import { LeaseRequester } from "../fleet/leaseRequester.ts";
import { MemberDiscovery } from "../fleet/memberDiscovery.ts";
import { PermitLeader } from "../fleet/permitLeader.ts";
import { PermitRequester } from "../fleet/permitRequester.ts";
import { PolicyConfirmation } from "../fleet/policyConfirmation.ts";
import { PolicyFilter } from "../fleet/policyFilter.ts";
import { Promotions } from "../fleet/promotions.ts";
import { Readiness } from "../fleet/readiness.ts";
import { RememberedDatabases } from "../fleet/rememberedDatabases.ts";
import type { ColdTolerance } from "../model/coldLimits.ts";
import { Pace } from "../model/pace.ts";
import type { RateTolerance } from "../model/rateLimits.ts";
import type { Member } from "../model/replicatedLog.ts";
import { Pipe } from "../pipeline/pipe.ts";
import { SeededRandom } from "../pipeline/seededRandom.ts";
import { TrafficPolicyDecoder } from "../platform/documentCodec.ts";
import { defaultWireServerLimits } from "../platform/wireServerLimits.ts";
import { Admission } from "../session/admission.ts";
import { ColdGate } from "../session/coldGate.ts";
import { ColdRule } from "../session/coldRule.ts";
import { EvacuationRule } from "../session/evacuationRule.ts";
import { EvacuationStages } from "../session/evacuationStages.ts";
import { FloorExchange } from "../session/floorExchange.ts";
import { Forwarding } from "../session/forwarding.ts";
import { HomeRule } from "../session/homeRule.ts";
import { Links } from "../session/links.ts";
import { PassedTasks } from "../session/passedTasks.ts";
import { Routing } from "../session/routing.ts";
import { SessionAccess } from "../session/sessionAccess.ts";
import { Sessions } from "../session/sessions.ts";
import { SessionShares } from "../session/sessionShares.ts";

const defaultEvacuationBoundMs = 5_000;
const noColdTolerance: ColdTolerance = { excess: 1, statements: 0 };

export interface ProxyPipeOptions {
    readonly instanceId: string;
    readonly dataCentre: string;
    /** Region of each data centre. */
    readonly dataCentreRegions?: ReadonlyMap<string, string>;
    /** By default nothing is tolerated beyond what a cold database bears. */
    readonly coldTolerance?: ColdTolerance;
    /** `host:port` at which other instances reach the gRPC listener. */
    readonly rpcAddress: string;
    /** Time after the acknowledgement of an evacuation from which no statement may reach a database there; 5 s by default. */
    readonly evacuationBoundMs?: number;
    /** Off by default. */
    readonly pace?: Pace;
    /** Connections that the listener for callers takes; by default its own default. */
    readonly maximumConnections?: number;
    readonly seed: number;
}

/** Builds the pipes of a proxy, which serves callers. */
export function buildProxyPipes(options: ProxyPipeOptions): readonly Pipe[] {
    const { instanceId, dataCentre, dataCentreRegions = new Map<string, string>(), rpcAddress, seed } = options;
    const evacuationBoundMs = options.evacuationBoundMs ?? defaultEvacuationBoundMs;
    const coldRule = new ColdRule({ tolerance: options.coldTolerance ?? noColdTolerance });
    const fleet = new Pipe("fleet", [
        new SubscriptionFilter(),
        new PolicyFilter(new TrafficPolicyDecoder({ regions: new Set(dataCentreRegions.values()) })),
        new DatabaseRecall(),
        new FleetDatabaseDirectory(),
        new Attachments({ instanceId, dataCentre, address: rpcAddress, serves: true, followsConfiguration: true }),
        new MemberDiscovery({ address: rpcAddress, isMember: false, random: new SeededRandom(seed + 1) }),
        new PolicyConfirmation(),
        new PermitRequester(),
        new ColdRequester(),
        new LeaseRequester(),
        new Readiness(),
    ]);
    const session = new Pipe("session", [
        new FloorExchange({ instanceId, dataCentre }),
        new SessionShares({
            maximumConnections: options.maximumConnections ?? defaultWireServerLimits.maximumConnections,
        }),
        new SessionAccess(),
        new Sessions(),
        new Admission({ random: new SeededRandom(seed) }),
        new PassedTasks(),
        coldRule,
        new Routing({
            dataCentre,
            dataCentreRegions,
            rules: [new EvacuationRule(evacuationBoundMs), new HomeRule(dataCentreRegions), coldRule],
            random: new SeededRandom(seed + 2),
        }),
        new Forwarding({ instanceId, dataCentreRegions }),
        new ColdGate(),
        new EvacuationStages(evacuationBoundMs),
        new Links({ random: new SeededRandom(seed + 3), pace: options.pace ?? Pace.Off }),
    ]);
    return [fleet, session];
}

export interface MemberPipeOptions {
    readonly self: Member;
    readonly initialMembers: readonly InitialMember[];
    readonly dataCentre: string;
    /** All data centres of the deployment; by default only the own one. */
    readonly dataCentres?: ReadonlySet<string>;
    /** Region of each data centre. */
    readonly dataCentreRegions?: ReadonlyMap<string, string>;
    /** True for the first start of the whole system, in which the members form a new cluster. */
    readonly canFormCluster: boolean;
    /** Number of members whose disks may be lost at the same time without a loss of committed entries. */
    readonly faultTolerance: number;
    readonly rateTolerance: RateTolerance;
    /** By default nothing is tolerated beyond what a cold database bears. */
    readonly coldTolerance?: ColdTolerance;
    /** Interval at which databases report. */
    readonly reportIntervalMs: number;
    /** Time after the acknowledgement of an evacuation from which no statement may reach a database there; 5 s by default. */
    readonly evacuationBoundMs?: number;
    readonly seed: number;
    /** Number of log entries between two snapshots. */
    readonly snapshotEntries?: number;
}

/** Builds the pipes of a control member. */
export function buildMemberPipes(options: MemberPipeOptions): readonly Pipe[] {
    const { self, dataCentre, dataCentres = new Set([dataCentre]), rateTolerance, reportIntervalMs, snapshotEntries } =
        options;
    const dataCentreRegions = options.dataCentreRegions ?? new Map<string, string>();
    const control = new Pipe(
        "control",
        controlFilters({
            self,
            initialMembers: options.initialMembers,
            random: new SeededRandom(options.seed),
            canFormCluster: options.canFormCluster,
            automaticMembership: true,
            faultTolerance: options.faultTolerance,
            ...snapshotEntries === undefined ? {} : { snapshotEntries },
        }),
    );
    const { memberId: instanceId, address } = self;
    const fleet = new Pipe("fleet", [
        new PolicyFilter(new TrafficPolicyDecoder({ regions: new Set(dataCentreRegions.values()) })),
        new FleetDatabaseDirectory(),
        new RememberedDatabases(),
        new AttachmentHub({ instanceId }),
        new Attachments({ instanceId, dataCentre, address, serves: false, followsConfiguration: false }),
        new MemberDiscovery({ address, isMember: true, random: new SeededRandom(options.seed + 1) }),
        new ConfigurationDocuments(),
        new ConfigurationProofs(),
        new EvacuationOrders({ dataCentres }),
        new PermitLeader({ tolerance: rateTolerance }),
        new ColdBudgets({ tolerance: options.coldTolerance ?? noColdTolerance }),
        new Promotions({
            reportIntervalMs,
            evacuationBoundMs: options.evacuationBoundMs ?? defaultEvacuationBoundMs,
            dataCentreRegions,
        }),
    ]);
    return [control, fleet];
}
