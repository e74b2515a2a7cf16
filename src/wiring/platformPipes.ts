/** Builds the pipes of the processes that run on the users' platform, in the order in which they process each event. */
import { controlFilters } from "../control/controlPipe.ts";
import type { InitialMember } from "../control/formationFilter.ts";
import { SubscriptionFilter } from "../control/subscriptionFilter.ts";
import { AttachmentHub } from "../fleet/attachmentHub.ts";
import { Attachments } from "../fleet/attachments.ts";
import { ConfigurationDocuments } from "../fleet/configurationDocuments.ts";
import { ConfigurationProofs } from "../fleet/configurationProofs.ts";
import { DatabaseRecall } from "../fleet/databaseRecall.ts";
import { FleetDatabaseDirectory } from "../fleet/fleetDatabaseDirectory.ts";
import { MemberDiscovery } from "../fleet/memberDiscovery.ts";
import { PermitLeader } from "../fleet/permitLeader.ts";
import { PermitRequester } from "../fleet/permitRequester.ts";
import { PolicyConfirmation } from "../fleet/policyConfirmation.ts";
import { PolicyFilter } from "../fleet/policyFilter.ts";
import { Promotions } from "../fleet/promotions.ts";
import { Readiness } from "../fleet/readiness.ts";
import { RememberedDatabases } from "../fleet/rememberedDatabases.ts";
import type { RateTolerance } from "../model/rateLimits.ts";
import type { Member } from "../model/replicatedLog.ts";
import { Pipe } from "../pipeline/pipe.ts";
import { SeededRandom } from "../pipeline/seededRandom.ts";
import { TrafficPolicyDecoder } from "../platform/documentCodec.ts";
import { Admission } from "../session/admission.ts";
import { FloorExchange } from "../session/floorExchange.ts";
import { Forwarding } from "../session/forwarding.ts";
import { Links } from "../session/links.ts";
import { PassedTasks } from "../session/passedTasks.ts";
import { Routing } from "../session/routing.ts";
import { SessionAccess } from "../session/sessionAccess.ts";
import { Sessions } from "../session/sessions.ts";

export interface ProxyPipeOptions {
    readonly instanceId: string;
    readonly dataCentre: string;
    /** `host:port` at which other instances reach the gRPC listener. */
    readonly rpcAddress: string;
    readonly seed: number;
}

/** Builds the pipes of a proxy, which serves callers. */
export function buildProxyPipes({ instanceId, dataCentre, rpcAddress, seed }: ProxyPipeOptions): readonly Pipe[] {
    const fleet = new Pipe("fleet", [
        new SubscriptionFilter(),
        new PolicyFilter(new TrafficPolicyDecoder()),
        new DatabaseRecall(),
        new FleetDatabaseDirectory(),
        new Attachments({ instanceId, dataCentre, address: rpcAddress, serves: true, followsConfiguration: true }),
        new MemberDiscovery({ address: rpcAddress, isMember: false, random: new SeededRandom(seed + 1) }),
        new PolicyConfirmation(),
        new PermitRequester(),
        new Readiness(),
    ]);
    const session = new Pipe("session", [
        new FloorExchange({ instanceId, dataCentre }),
        new SessionAccess(),
        new Sessions(),
        new Admission({ random: new SeededRandom(seed) }),
        new PassedTasks(),
        new Routing({ dataCentre }),
        new Forwarding({ instanceId }),
        new Links(),
    ]);
    return [fleet, session];
}

export interface MemberPipeOptions {
    readonly self: Member;
    readonly initialMembers: readonly InitialMember[];
    readonly dataCentre: string;
    /** True for the first start of the whole system, in which the members form a new cluster. */
    readonly canFormCluster: boolean;
    /** Number of members whose disks may be lost at the same time without a loss of committed entries. */
    readonly faultTolerance: number;
    readonly rateTolerance: RateTolerance;
    /** Interval at which databases report. */
    readonly reportIntervalMs: number;
    readonly seed: number;
    /** Number of log entries between two snapshots. */
    readonly snapshotEntries?: number;
}

/** Builds the pipes of a control member. */
export function buildMemberPipes(options: MemberPipeOptions): readonly Pipe[] {
    const { self, dataCentre, rateTolerance, reportIntervalMs, snapshotEntries } = options;
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
        new PolicyFilter(new TrafficPolicyDecoder()),
        new FleetDatabaseDirectory(),
        new RememberedDatabases(),
        new AttachmentHub({ instanceId }),
        new Attachments({ instanceId, dataCentre, address, serves: false, followsConfiguration: false }),
        new MemberDiscovery({ address, isMember: true, random: new SeededRandom(options.seed + 1) }),
        new ConfigurationDocuments(),
        new ConfigurationProofs(),
        new PermitLeader({ tolerance: rateTolerance }),
        new Promotions({ reportIntervalMs }),
    ]);
    return [control, fleet];
}
