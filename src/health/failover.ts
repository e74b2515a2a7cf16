/** Decides on the leader about the members and the primaries of all groups. */
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
import { groupToPropose, hasMajorityAnnounced } from "./groupFormation.ts";
import { GroupStateMachine } from "./groupStateMachine.ts";
import type { GroupViewSource, ReceivedReport } from "./groupView.ts";
import { InstanceTable } from "./instanceTable.ts";

/** Heartbeat interval of the holders of a group whose primary is being changed or may have failed. */
const frequentHeartbeatMs = 50;

type Input =
    | ChangePrimary
    | ConfigurationApplied
    | ControlProposalEnded
    | DirectoryChanged
    | HeartbeatChecked
    | LeaderTicked
    | LeaseEnded
    | LeadershipStarted;

/** A tick takes time linear in the number of groups, a heartbeat in the number of databases that its sender holds. */
export class Failover implements Filter, GroupViewSource {
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
    leadershipStartMs = 0;
    private leaderTerm = 0;
    private readonly instances = new InstanceTable();
    private readonly directoryEntries = new Map<string, DirectoryEntry>();
    private readonly databaseIdsByGroup = new Map<string, Set<string>>();
    private readonly reports = new Map<string, ReceivedReport>();
    private readonly stateMachines = new Map<string, GroupStateMachine>();
    private readonly stateMachineByDatabase = new Map<string, GroupStateMachine>();
    private readonly openProposalByGroup = new Map<string, string>();
    /** Groups whose announced members may differ from the agreed ones. */
    private readonly groupsToCheck = new Set<string>();
    private readonly majorityAnnouncedAtMs = new Map<string, number>();
    private configuration: Configuration = emptyConfiguration;
    private holderByDatabase: ReadonlyMap<string, string> = new Map();

    process(message: Message, nowMs: number): readonly Message[] {
        // Heartbeats are matched first, as the most frequent kind: 940 a second with 470 instances.
        return match(message as Input)
            .with({ kind: HealthKind.HeartbeatChecked }, checked => this.handleHeartbeat(checked, nowMs))
            .with({ kind: HealthKind.LeadershipStarted }, started => this.startLeadership(started, nowMs))
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => {
                this.applyConfiguration(applied.configuration);
                return [applied];
            })
            .with({ kind: ControlKind.ProposalEnded }, ended => [...this.handleProposalEnded(ended, nowMs), ended])
            .with({ kind: HealthKind.ChangePrimary }, ({ groupId }) => {
                this.stateMachines.get(groupId)?.requestChange();
                return [];
            })
            .with({ kind: HealthKind.DirectoryChanged }, changed => {
                this.recordEntry(changed.entry);
                return [changed];
            })
            .with({ kind: HealthKind.LeaseEnded }, ({ databaseId, changeId }) => {
                return this.stateMachineByDatabase.get(databaseId)?.onLeaseEnded(changeId, nowMs) ?? [];
            })
            .with({ kind: HealthKind.LeaderTicked }, ticked => [...this.handleTick(nowMs), ticked])
            .exhaustive();
    }

    directoryEntry(databaseId: string): DirectoryEntry | undefined {
        return this.directoryEntries.get(databaseId);
    }

    latestReport(databaseId: string): ReceivedReport | undefined {
        return this.reports.get(databaseId);
    }

    holderOf(databaseId: string): string | undefined {
        return this.holderByDatabase.get(databaseId);
    }

    hasAvailableInstances(dataCentre: string, nowMs: number): boolean {
        return this.instances.candidatesByDataCentre(nowMs).has(dataCentre);
    }

    private startLeadership(started: LeadershipStarted, nowMs: number): readonly Message[] {
        this.leadershipStartMs = nowMs;
        this.leaderTerm = started.term;
        [
            this.directoryEntries,
            this.databaseIdsByGroup,
            this.reports,
            this.stateMachines,
            this.stateMachineByDatabase,
            this.openProposalByGroup,
        ].forEach(map => map.clear());
        this.majorityAnnouncedAtMs.clear();
        this.groupsToCheck.clear();
        this.instances.clear();
        this.applyConfiguration(this.configuration);
        return [started];
    }

    private applyConfiguration(configuration: Configuration): void {
        this.configuration = configuration;
        this.holderByDatabase = new Map(
            configuration.leases
                .filter(lease => lease.resource === ResourceKind.Database)
                .map(lease => [lease.resourceId, lease.instanceId]),
        );
        for (const group of configuration.groups) {
            let stateMachine = this.stateMachines.get(group.groupId);
            if (stateMachine === undefined) {
                stateMachine = new GroupStateMachine(group, this, this.leaderTerm);
                this.stateMachines.set(group.groupId, stateMachine);
            }
            if (stateMachine.group !== group) {
                // A change of primary may have made a proposal to add a member fail.
                this.groupsToCheck.add(group.groupId);
            }
            stateMachine.group = group;
            group.memberIds.forEach(memberId => this.stateMachineByDatabase.set(memberId, stateMachine));
        }
    }

    private recordEntry(entry: DirectoryEntry): void {
        const { databaseId, groupId } = entry.announcement;
        this.directoryEntries.set(databaseId, entry);
        this.groupsToCheck.add(groupId);
        const ids = this.databaseIdsByGroup.get(groupId);
        this.databaseIdsByGroup.set(groupId, (ids ?? new Set()).add(databaseId));
    }

    private handleProposalEnded(ended: ControlProposalEnded, nowMs: number): readonly Message[] {
        for (const [groupId, proposalId] of this.openProposalByGroup) {
            if (proposalId === ended.proposalId) {
                this.openProposalByGroup.delete(groupId);
            }
        }
        return [...this.stateMachines.values()]
            .filter(stateMachine => !stateMachine.isSteady)
            .flatMap(stateMachine => stateMachine.onProposalEnded(ended, nowMs));
    }

    private handleHeartbeat(checked: HeartbeatChecked, nowMs: number): readonly Message[] {
        const { heartbeat } = checked;
        this.instances.recordHeartbeat(heartbeat, nowMs);
        const messages: Message[] = [];
        const affected = new Set(heartbeat.held.map(report => this.stateMachineByDatabase.get(report.databaseId)));
        affected.delete(undefined);
        for (const result of heartbeat.orderResults) {
            affected.forEach(stateMachine => messages.push(...stateMachine!.onOrderResult(result, nowMs)));
        }
        for (const report of heartbeat.held) {
            if (this.holderOf(report.databaseId) === heartbeat.instanceId) {
                this.reports.set(report.databaseId, { report, instanceId: heartbeat.instanceId, receivedAtMs: nowMs });
                messages.push(...this.stateMachineByDatabase.get(report.databaseId)?.onReport(report, nowMs) ?? []);
            }
        }
        return [...messages, this.fillAnswer(checked, nowMs)];
    }

    private fillAnswer(checked: HeartbeatChecked, nowMs: number): HeartbeatChecked {
        const { answer } = checked;
        const renewed = answer.renewed.filter(lease => lease.resource === ResourceKind.Database);
        const stateMachines = renewed.map(lease =>
            [lease.resourceId, this.stateMachineByDatabase.get(lease.resourceId)] as const
        );
        const asks = stateMachines.map(([databaseId, stateMachine]) => stateMachine?.positionAskFor(databaseId));
        const orders = stateMachines.map(([databaseId, stateMachine]) => {
            return this.latestReport(databaseId)?.report.reachable
                ? stateMachine?.orderFor(databaseId, nowMs)
                : undefined;
        });
        const needsFrequent = stateMachines.some(([, stateMachine]) => stateMachine?.needsFrequentHeartbeats(nowMs));
        return {
            ...checked,
            answer: {
                ...answer,
                asks: asks.filter(ask => ask !== undefined),
                orders: orders.filter(order => order !== undefined),
                nextHeartbeatMs: needsFrequent ? frequentHeartbeatMs : answer.nextHeartbeatMs,
            },
        };
    }

    private handleTick(nowMs: number): readonly Message[] {
        return [...this.proposeMemberships(nowMs), ...this.decideAll(nowMs)];
    }

    private decideAll(nowMs: number): readonly Message[] {
        return [...this.stateMachines.values()]
            .filter(stateMachine => !this.openProposalByGroup.has(stateMachine.group.groupId))
            .flatMap(stateMachine => stateMachine.decide(nowMs));
    }

    private proposeMemberships(nowMs: number): readonly ControlPropose[] {
        const proposals: ControlPropose[] = [];
        for (const groupId of this.groupsToCheck) {
            const stateMachine = this.stateMachines.get(groupId);
            if (this.openProposalByGroup.has(groupId) || !(stateMachine?.isSteady ?? true)) {
                continue;
            }
            const directoryEntries = [...this.databaseIdsByGroup.get(groupId) ?? []].map(databaseId =>
                this.directoryEntries.get(databaseId)!
            );
            const group = groupToPropose(
                stateMachine?.group,
                directoryEntries,
                this.majorityAgeMs(groupId, directoryEntries, nowMs),
            );
            if (group !== undefined) {
                proposals.push(this.proposeGroup(group, stateMachine?.group.term ?? 0));
            }
            else if (stateMachine !== undefined) {
                this.groupsToCheck.delete(groupId);
            }
        }
        return proposals;
    }

    private majorityAgeMs(groupId: string, directoryEntries: readonly DirectoryEntry[], nowMs: number): number {
        if (!hasMajorityAnnounced(directoryEntries)) {
            this.majorityAnnouncedAtMs.delete(groupId);
            return 0;
        }
        const announcedAtMs = this.majorityAnnouncedAtMs.get(groupId) ?? nowMs;
        this.majorityAnnouncedAtMs.set(groupId, announcedAtMs);
        return nowMs - announcedAtMs;
    }

    private proposeGroup(group: DatabaseGroup, expectedTerm: number): ControlPropose {
        const proposalId = `group/${this.leaderTerm}/${group.groupId}/${group.memberIds.length}`;
        this.openProposalByGroup.set(group.groupId, proposalId);
        const command = { kind: CommandKind.SetGroup, expectedTerm, group } as const;
        return { kind: ControlKind.Propose, proposalId, operationId: "", command };
    }
}
