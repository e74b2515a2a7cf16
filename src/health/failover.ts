/** The leader's decisions about the primaries of all groups. */
import { match } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import { CommandKind, ControlKind, type ControlProposalEnded, type ControlPropose } from "../model/controlMessages.ts";
import type { DatabaseGroup } from "../model/database.ts";
import {
    type ChangePrimary,
    type DirectoryChanged,
    type DirectoryEntry,
    HealthKind,
    type HeartbeatChecked,
    type LeadershipStarted,
    type LeaderTicked,
    type LeaseEnded,
} from "../model/healthMessages.ts";
import { ResourceKind } from "../model/lease.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { GroupChange } from "./groupChange.ts";
import type { GroupSources, ReceivedReport } from "./groupFacts.ts";
import { formGroup, hasMajority } from "./groupFormation.ts";
import { InstanceTable } from "./instanceTable.ts";

/** Interval of the heartbeats of holders whose group is changing or whose primary is suspected. */
const urgentHeartbeatMs = 50;

type Input =
    | ChangePrimary
    | ConfigurationApplied
    | ControlProposalEnded
    | DirectoryChanged
    | HeartbeatChecked
    | LeaderTicked
    | LeaseEnded
    | LeadershipStarted;

/** Work per tick is linear in the groups; work per heartbeat is linear in the databases that its sender holds. */
export class Failover implements Filter, GroupSources {
    readonly step = "failover";
    readonly accepts = [
        ClusterKind.ConfigurationApplied,
        ControlKind.ProposalEnded,
        HealthKind.ChangePrimary,
        HealthKind.DirectoryChanged,
        HealthKind.HeartbeatChecked,
        HealthKind.LeaderTicked,
        HealthKind.LeaseEnded,
        HealthKind.LeadershipStarted,
    ];
    officeStartMs = 0;
    private officeTerm = 0;
    private readonly instances = new InstanceTable();
    private readonly entries = new Map<string, DirectoryEntry>();
    private readonly entryIdsByGroup = new Map<string, Set<string>>();
    private readonly reports = new Map<string, ReceivedReport>();
    private readonly changes = new Map<string, GroupChange>();
    private readonly changeByDatabase = new Map<string, GroupChange>();
    private readonly formations = new Map<string, string>();
    /** Groups whose members may differ from the agreed ones. */
    private readonly unsettled = new Set<string>();
    private readonly majoritySinceMs = new Map<string, number>();
    private configuration: Configuration = emptyConfiguration;
    private holders: ReadonlyMap<string, string> = new Map();

    process(message: Message, nowMs: number): readonly Message[] {
        // The most frequent kind first: 940 heartbeats a second with 470 instances.
        return match(message as Input)
            .with({ kind: HealthKind.HeartbeatChecked }, checked => this.checked(checked, nowMs))
            .with({ kind: HealthKind.LeadershipStarted }, started => this.start(started, nowMs))
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => {
                this.useConfiguration(applied.configuration);
                return [applied];
            })
            .with({ kind: ControlKind.ProposalEnded }, ended => [...this.proposalEnded(ended, nowMs), ended])
            .with({ kind: HealthKind.ChangePrimary }, ({ groupId }) => {
                this.changes.get(groupId)?.wantChange();
                return [];
            })
            .with({ kind: HealthKind.DirectoryChanged }, changed => {
                this.learn(changed.entry);
                return [changed];
            })
            .with({ kind: HealthKind.LeaseEnded }, ({ databaseId, changeId }) => {
                return this.changeByDatabase.get(databaseId)?.leaseEnded(changeId, nowMs) ?? [];
            })
            .with({ kind: HealthKind.LeaderTicked }, ticked => [...this.tick(nowMs), ticked])
            .exhaustive();
    }

    entry(databaseId: string): DirectoryEntry | undefined {
        return this.entries.get(databaseId);
    }

    report(databaseId: string): ReceivedReport | undefined {
        return this.reports.get(databaseId);
    }

    holderOf(databaseId: string): string | undefined {
        return this.holders.get(databaseId);
    }

    hasInstances(dataCentre: string, nowMs: number): boolean {
        return this.instances.candidates(nowMs).has(dataCentre);
    }

    private start(started: LeadershipStarted, nowMs: number): readonly Message[] {
        this.officeStartMs = nowMs;
        this.officeTerm = started.term;
        [this.entries, this.entryIdsByGroup, this.reports, this.changes, this.changeByDatabase, this.formations]
            .forEach(map => map.clear());
        this.majoritySinceMs.clear();
        this.unsettled.clear();
        this.instances.clear();
        this.useConfiguration(this.configuration);
        return [started];
    }

    private useConfiguration(configuration: Configuration): void {
        this.configuration = configuration;
        this.holders = new Map(
            configuration.leases
                .filter(lease => lease.resource === ResourceKind.Database)
                .map(lease => [lease.resourceId, lease.instanceId]),
        );
        for (const group of configuration.groups) {
            let change = this.changes.get(group.groupId);
            if (change === undefined) {
                change = new GroupChange(group, this, this.officeTerm);
                this.changes.set(group.groupId, change);
            }
            if (change.group !== group) {
                // A change of primary may have overtaken the addition of a member.
                this.unsettled.add(group.groupId);
            }
            change.group = group;
            group.memberIds.forEach(memberId => this.changeByDatabase.set(memberId, change));
        }
    }

    private learn(entry: DirectoryEntry): void {
        const { databaseId, groupId } = entry.announcement;
        this.entries.set(databaseId, entry);
        this.unsettled.add(groupId);
        const ids = this.entryIdsByGroup.get(groupId);
        this.entryIdsByGroup.set(groupId, (ids ?? new Set()).add(databaseId));
    }

    private proposalEnded(ended: ControlProposalEnded, nowMs: number): readonly Message[] {
        for (const [groupId, proposalId] of this.formations) {
            if (proposalId === ended.proposalId) {
                this.formations.delete(groupId);
            }
        }
        return [...this.changes.values()]
            .filter(change => !change.isSteady)
            .flatMap(change => change.proposalEnded(ended, nowMs));
    }

    private checked(checked: HeartbeatChecked, nowMs: number): readonly Message[] {
        const { heartbeat } = checked;
        this.instances.take(heartbeat, nowMs);
        const messages: Message[] = [];
        const own = new Set(heartbeat.held.map(report => this.changeByDatabase.get(report.databaseId)));
        own.delete(undefined);
        for (const result of heartbeat.orderResults) {
            own.forEach(change => messages.push(...change!.orderDone(result, nowMs)));
        }
        for (const report of heartbeat.held) {
            if (this.holderOf(report.databaseId) === heartbeat.instanceId) {
                this.reports.set(report.databaseId, { report, instanceId: heartbeat.instanceId, atMs: nowMs });
                messages.push(...this.changeByDatabase.get(report.databaseId)?.reported(report, nowMs) ?? []);
            }
        }
        return [...messages, this.withRequests(checked, nowMs)];
    }

    private withRequests(checked: HeartbeatChecked, nowMs: number): HeartbeatChecked {
        const { answer } = checked;
        const renewed = answer.renewed.filter(lease => lease.resource === ResourceKind.Database);
        const changes = renewed.map(lease => [lease.resourceId, this.changeByDatabase.get(lease.resourceId)] as const);
        const asks = changes.map(([databaseId, change]) => change?.askFor(databaseId));
        const orders = changes.map(([databaseId, change]) => {
            return this.report(databaseId)?.report.reachable ? change?.orderFor(databaseId, nowMs) : undefined;
        });
        const urgent = changes.some(([, change]) => change?.isUrgent(nowMs));
        return {
            ...checked,
            answer: {
                ...answer,
                asks: asks.filter(ask => ask !== undefined),
                orders: orders.filter(order => order !== undefined),
                nextHeartbeatMs: urgent ? urgentHeartbeatMs : answer.nextHeartbeatMs,
            },
        };
    }

    private tick(nowMs: number): readonly Message[] {
        return [...this.formGroups(nowMs), ...this.decideAll(nowMs)];
    }

    private decideAll(nowMs: number): readonly Message[] {
        return [...this.changes.values()]
            .filter(change => !this.formations.has(change.group.groupId))
            .flatMap(change => change.decide(nowMs));
    }

    private formGroups(nowMs: number): readonly ControlPropose[] {
        const proposals: ControlPropose[] = [];
        for (const groupId of this.unsettled) {
            const change = this.changes.get(groupId);
            if (this.formations.has(groupId) || !(change?.isSteady ?? true)) {
                continue;
            }
            const entries = [...this.entryIdsByGroup.get(groupId) ?? []].map(databaseId =>
                this.entries.get(databaseId)!
            );
            const group = formGroup(change?.group, entries, this.waitedMs(groupId, entries, nowMs));
            if (group !== undefined) {
                proposals.push(this.proposeGroup(group, change?.group.term ?? 0));
            }
            else if (change !== undefined) {
                this.unsettled.delete(groupId);
            }
        }
        return proposals;
    }

    private waitedMs(groupId: string, entries: readonly DirectoryEntry[], nowMs: number): number {
        if (!hasMajority(entries)) {
            this.majoritySinceMs.delete(groupId);
            return 0;
        }
        const sinceMs = this.majoritySinceMs.get(groupId) ?? nowMs;
        this.majoritySinceMs.set(groupId, sinceMs);
        return nowMs - sinceMs;
    }

    private proposeGroup(group: DatabaseGroup, expectedTerm: number): ControlPropose {
        const proposalId = `group/${this.officeTerm}/${group.groupId}/${group.memberIds.length}`;
        this.formations.set(group.groupId, proposalId);
        const command = { kind: CommandKind.SetGroup, expectedTerm, group } as const;
        return { kind: ControlKind.Propose, proposalId, operationId: "", command };
    }
}
