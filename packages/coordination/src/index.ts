/**
 * Building blocks for coordination, for embedding in other programs: clocks, framed peer connections, durable log
 * storage, a replicated log, and publication of revisioned state.
 */
export { type Clock, CLOCK_RATE_ERROR, prolongForClockRate } from "./clock/clock.js";
export { createDeadlineTimer, type DeadlineTimer } from "./clock/deadline-timer.js";
export { DeadlineError, withDeadline } from "./clock/deadline.js";
export { createManualClock, type ManualClock } from "./clock/manual-clock.js";
export { createSystemClock } from "./clock/system-clock.js";
export { MembershipError, NotLeaderError, OutcomeUnknownError, ProposalRefusedError } from "./consensus/errors.js";
export { type Member, MembershipChange, type MembershipRequest } from "./consensus/membership.js";
export {
    ConsensusMessageKind,
    type ConsensusReply,
    consensusReplySchema,
    type ConsensusRequest,
    consensusRequestSchema,
    parseConsensusReply,
    parseConsensusRequest,
} from "./consensus/messages.js";
export { type Replica, type ReplicaOptions, ReplicaRole, type ReplicaStatus } from "./consensus/replica-types.js";
export { createReplica } from "./consensus/replica.js";
export { type Counters, NO_COUNTERS } from "./counters/counters.js";
export {
    createFrameDecoder,
    encodeFrame,
    type FrameDecoder,
    FrameError,
    FrameFault,
    MAXIMUM_FRAME_BYTES,
} from "./framing/frames.js";
export { type AddressWait, listen, ListenError, type ListenOptions } from "./listening/listen.js";
export { dialPeer, type DialPeerOptions } from "./peers/dial-peer.js";
export { listenForPeers, type ListenForPeersOptions } from "./peers/listen-for-peers.js";
export { PeerError, PeerFailureCode, PeerRequestError, PeerStep } from "./peers/peer-error.js";
export type { PeerClient, PeerIdentity, PeerListener, PeerRequestHandler } from "./peers/peer.js";
export { routePeerRequests } from "./peers/serve-requests.js";
export type { PeerTlsFiles } from "./peers/tls.js";
export { type Follower, followPublication, type FollowPublicationOptions } from "./publication/follow-publication.js";
export {
    BatchKind,
    type PublicationBatch,
    publicationBatchSchema,
    type PublicationReadRequest,
    publicationReadRequestSchema,
    type PublishedItem,
    type SnapshotCursor,
} from "./publication/messages.js";
export { createPublication, type Publication, type PublicationChange } from "./publication/publication.js";
export { servePublication } from "./publication/serve-publication.js";
export { createFolder, type FileSystem, NODE_FILE_SYSTEM, readChecked, replaceFile } from "./storage/file-system.js";
export type { HardState, LogStorage, StoredEntry, StoredSnapshot } from "./storage/log-storage.js";
export { type LogStorageOptions, openLogStorage } from "./storage/open-log-storage.js";
export { StorageError, StorageStep } from "./storage/storage-error.js";
