"""Defines the metrics that guavagate exports."""

from typing import Final

from guavagate.metrics._metric import Metric, MetricKind

REQUESTS: Final = Metric(
    name='guavagate_requests_total',
    kind=MetricKind.COUNTER,
    text="Callers' requests answered, by HTTP status",
    labels=('team', 'status'),
    plotted=True,
)
REQUEST_SECONDS: Final = Metric(
    name='guavagate_request_seconds',
    kind=MetricKind.HISTOGRAM,
    text='Time from a request to its whole answer',
    labels=('team',),
    plotted=True,
)
QUEUED: Final = Metric(
    name='guavagate_queued_requests',
    kind=MetricKind.GAUGE,
    text='Requests that wait for a permit at pools at home here',
    labels=('pool',),
    plotted=True,
)
RUNNING: Final = Metric(
    name='guavagate_running_requests',
    kind=MetricKind.GAUGE,
    text='Permits given out by pools at home here',
    labels=('pool',),
    plotted=True,
)
KEYS_DENIED: Final = Metric(
    name='guavagate_keys_denied_total',
    kind=MetricKind.COUNTER,
    text='Requests denied or refused for their key, by reason',
    labels=('reason',),
)
PROOF_AGE_SECONDS: Final = Metric(
    name='guavagate_configuration_proof_seconds',
    kind=MetricKind.GAUGE,
    text='How long ago the configuration here was surely the newest',
)
MEMBERS: Final = Metric(
    name='guavagate_members',
    kind=MetricKind.GAUGE,
    text='Instances that this one sees alive',
    plotted=True,
)
STOPPED_REQUESTS: Final = Metric(
    name='guavagate_stopped_requests',
    kind=MetricKind.GAUGE,
    text='Requests that are sent to no upstream, as upstreams ended under them',
    plotted=True,
)
PARTITIONS_LED: Final = Metric(
    name='guavagate_partitions_led',
    kind=MetricKind.GAUGE,
    text='Partitions whose primary is on this instance',
    plotted=True,
)
SETTINGS_REVISION: Final = Metric(
    name='guavagate_settings_revision',
    kind=MetricKind.GAUGE,
    text="The team's revision in force on this instance",
    labels=('team',),
    plotted=True,
)
READY: Final = Metric(
    name='guavagate_ready',
    kind=MetricKind.GAUGE,
    text='1 while the readiness check passes',
    plotted=True,
)
PEER_MESSAGES: Final = Metric(
    name='guavagate_peer_messages_total',
    kind=MetricKind.COUNTER,
    text='Messages between instances; `by` is links or probes',
    labels=('by', 'way'),
)
PEER_BYTES: Final = Metric(
    name='guavagate_peer_bytes_total',
    kind=MetricKind.COUNTER,
    text='Their bytes, without the headers of IP, TCP and UDP',
    labels=('by', 'way'),
)
BUS_MESSAGES: Final = Metric(
    name='guavagate_bus_messages_total',
    kind=MetricKind.COUNTER,
    text='Messages on the bus by kind; a reply counts as its request',
    labels=('message', 'way', 'distance'),
)
BUS_BYTES: Final = Metric(
    name='guavagate_bus_bytes_total',
    kind=MetricKind.COUNTER,
    text='Their bytes; `distance` is what lies between the two instances',
    labels=('message', 'way', 'distance'),
)
EVENTS: Final = Metric(
    name='guavagate_events_total',
    kind=MetricKind.COUNTER,
    text='Log events by their number, also those below the log level',
    labels=('event',),
)
FORWARD_SECONDS: Final = Metric(
    name='guavagate_forward_seconds',
    kind=MetricKind.HISTOGRAM,
    text='Time from a forwarded request to its outcome',
    labels=('outcome',),
    plotted=True,
)
PROBES: Final = Metric(
    name='guavagate_upstream_probes_total',
    kind=MetricKind.COUNTER,
    text="Probes of upstreams' health paths, by what they found",
    labels=('state',),
    plotted=True,
)
UNRESPONSIVE_SERVICES: Final = Metric(
    name='guavagate_unresponsive_services',
    kind=MetricKind.GAUGE,
    text='Services of which no upstream answers this instance or, as another'
    ' one found, anybody',
    plotted=True,
)
ACCEPT_SECONDS: Final = Metric(
    name='guavagate_job_accept_seconds',
    kind=MetricKind.HISTOGRAM,
    text='Time from a submitted job to its acceptance',
)
JOB_SECONDS: Final = Metric(
    name='guavagate_job_seconds',
    kind=MetricKind.HISTOGRAM,
    text="Time from a job's submission to its end by the trainer",
)
ITEM_SECONDS: Final = Metric(
    name='guavagate_item_seconds',
    kind=MetricKind.HISTOGRAM,
    text="Time of an item's last run at a sampler",
)
GROUPS_DEFERRED: Final = Metric(
    name='guavagate_groups_behind_total',
    kind=MetricKind.COUNTER,
    text='Groups of jobs that went behind others as they can not be in time',
    plotted=True,
)
TEXTS_MOVED: Final = Metric(
    name='guavagate_texts_moved_total',
    kind=MetricKind.COUNTER,
    text='Texts that moved to a faster sampler; urgent for a step in time',
    labels=('reason',),
    plotted=True,
)
ITEMS_WITHOUT_MEMORY: Final = Metric(
    name='guavagate_items_without_memory_total',
    kind=MetricKind.COUNTER,
    text='Items that found a free slot, but no engine memory for their length',
)
ENGINE_MEMORY_RESERVED: Final = Metric(
    name='guavagate_engine_memory_reserved_ratio',
    kind=MetricKind.GAUGE,
    text="Mean share of the samplers' engine memory that texts reserve",
)
REWARD_SECONDS: Final = Metric(
    name='guavagate_reward_seconds',
    kind=MetricKind.HISTOGRAM,
    text='Time of one reward request with its repeats, by its end',
    labels=('outcome',),
)
STORE_SECONDS: Final = Metric(
    name='guavagate_store_call_seconds',
    kind=MetricKind.HISTOGRAM,
    text='Time of calls to the store, watches left out',
    labels=('method', 'outcome'),
)
ANNOUNCED_JOBS: Final = Metric(
    name='guavagate_announced_jobs_total',
    kind=MetricKind.COUNTER,
    text='Jobs that entries announced to this instance',
)
EARLY_TAKEOVERS: Final = Metric(
    name='guavagate_early_takeovers_total',
    kind=MetricKind.COUNTER,
    text='Times that this instance worked on jobs in the place of their owner',
    plotted=True,
)
OPEN_JOBS: Final = Metric(
    name='guavagate_open_jobs',
    kind=MetricKind.GAUGE,
    text='Jobs that this instance works on',
    plotted=True,
)
SAMPLERS_MOVED: Final = Metric(
    name='guavagate_samplers_moved_total',
    kind=MetricKind.COUNTER,
    text='Samplers that were moved to another model, by reason',
    labels=('reason',),
)
SAMPLERS_BORROWED: Final = Metric(
    name='guavagate_samplers_borrowed_total',
    kind=MetricKind.COUNTER,
    text='Idle samplers that were borrowed for a model whose items wait',
    labels=('model',),
)
MODEL_WORK_PER_SLOT: Final = Metric(
    name='guavagate_model_work_per_slot',
    kind=MetricKind.GAUGE,
    text='Work of a job over slots at usual speed, where samplers are uneven',
    labels=('model',),
)
SCALE_ORDERS: Final = Metric(
    name='guavagate_scale_orders_total',
    kind=MetricKind.COUNTER,
    text='Orders of upstreams, by kind and the answer to them',
    labels=('kind', 'answer'),
)
SPOT_UNAVAILABLE: Final = Metric(
    name='guavagate_spot_unavailable_zones',
    kind=MetricKind.GAUGE,
    text='Zones in which no spot upstreams can be ordered now',
)
TEXTS_MOVED_OFF: Final = Metric(
    name='guavagate_texts_moved_off_total',
    kind=MetricKind.COUNTER,
    text='Texts that moved off a sampler before it left',
)
ZONE_INSTANCES: Final = Metric(
    name='guavagate_zone_instances',
    kind=MetricKind.GAUGE,
    text='Instances of a zone that this one sees alive',
    labels=('zone', 'region'),
)
ZONE_UPSTREAMS: Final = Metric(
    name='guavagate_zone_upstreams',
    kind=MetricKind.GAUGE,
    text='Registered upstreams of a zone',
    labels=('zone', 'region'),
)
ZONE_COLD: Final = Metric(
    name='guavagate_zone_cold_upstreams',
    kind=MetricKind.GAUGE,
    text='Upstreams of a zone that count as cold here',
    labels=('zone', 'region'),
)
ZONE_RUNNING: Final = Metric(
    name='guavagate_zone_running',
    kind=MetricKind.GAUGE,
    text='Requests and items that this instance has running in a zone',
    labels=('zone', 'region'),
)
ZONE_EVACUATED_SECONDS: Final = Metric(
    name='guavagate_zone_evacuated_seconds',
    kind=MetricKind.GAUGE,
    text='Time since this instance follows the evacuation of a zone',
    labels=('zone', 'region'),
)
COLD_SECONDS: Final = Metric(
    name='guavagate_upstream_cold_seconds',
    kind=MetricKind.GAUGE,
    text='Time since an upstream counts as cold here',
    labels=('upstream', 'service', 'zone'),
)
ZONE_METRICS: Final = (
    ZONE_INSTANCES,
    ZONE_UPSTREAMS,
    ZONE_COLD,
    ZONE_RUNNING,
    ZONE_EVACUATED_SECONDS,
    COLD_SECONDS,
)
CPU_SECONDS: Final = Metric(
    name='process_cpu_seconds_total',
    kind=MetricKind.COUNTER,
    text='Processor time of the process',
    plotted=True,
)
RESIDENT_BYTES: Final = Metric(
    name='process_resident_memory_bytes',
    kind=MetricKind.GAUGE,
    text='Memory of the process',
    plotted=True,
)
HELD_BYTES: Final = Metric(
    name='guavagate_request_memory_bytes',
    kind=MetricKind.GAUGE,
    text='Memory held by requests: bodies, answers and buffers of streams',
    plotted=True,
)
BODIES_REFUSED: Final = Metric(
    name='guavagate_bodies_refused_total',
    kind=MetricKind.COUNTER,
    text='Requests refused before their bodies were read, for want of memory',
)
CALLER_DESCRIPTORS: Final = Metric(
    name='guavagate_caller_descriptors',
    kind=MetricKind.GAUGE,
    text='Descriptors of callers: their connections and their attempts',
)
CONNECTIONS_REFUSED: Final = Metric(
    name='guavagate_connections_refused_total',
    kind=MetricKind.COUNTER,
    text='Connections closed at once for want of memory or descriptors',
)
CONNECTIONS_EVICTED: Final = Metric(
    name='guavagate_connections_evicted_total',
    kind=MetricKind.COUNTER,
    text='Connections closed to make room, as they waited for their callers',
)
SLOW_CALLERS: Final = Metric(
    name='guavagate_slow_callers_total',
    kind=MetricKind.COUNTER,
    text='Callers cut off as they took no byte of their answer for too long',
)
ADMISSIONS: Final = Metric(
    name='guavagate_admissions_total',
    kind=MetricKind.COUNTER,
    text='Requests of saturated services, by what their queue owner said',
    labels=('result',),
)
ADMISSIONS_WAITING: Final = Metric(
    name='guavagate_admissions_waiting',
    kind=MetricKind.GAUGE,
    text='Requests that wait for a slot of their service at this queue owner',
    plotted=True,
)
COLD_UPSTREAMS: Final = Metric(
    name='guavagate_cold_upstreams',
    kind=MetricKind.GAUGE,
    text='Upstreams of services with a warm-up that count as cold here',
    plotted=True,
)
STARTS_DELAYED: Final = Metric(
    name='guavagate_starts_delayed_total',
    kind=MetricKind.COUNTER,
    text='Items that found a free slot, but had to wait for the start limit',
)
START_GRANTS: Final = Metric(
    name='guavagate_start_grants_total',
    kind=MetricKind.COUNTER,
    text='Requests of services with a warm-up, by what the holder said',
    labels=('result',),
)
REGION_REFUSALS: Final = Metric(
    name='guavagate_region_refusals_total',
    kind=MetricKind.COUNTER,
    text='Requests and jobs that were refused for their regions',
    labels=('kind',),
    plotted=True,
)
ITEMS_MOVED_INSIDE: Final = Metric(
    name='guavagate_items_moved_inside_total',
    kind=MetricKind.COUNTER,
    text='Items cancelled at samplers outside the regions of their job',
)
EVACUATED_ZONES: Final = Metric(
    name='guavagate_evacuated_zones',
    kind=MetricKind.GAUGE,
    text='Zones that are evacuated as this instance sees it',
    plotted=True,
)
REQUESTS_STOPPED: Final = Metric(
    name='guavagate_requests_stopped_total',
    kind=MetricKind.COUNTER,
    text='Requests stopped right before they were sent, by obstacle',
    labels=('obstacle',),
)
