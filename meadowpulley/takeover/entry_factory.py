"""Creates journal entries from client requests and from claimed orphans."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from meadowpulley.interface import Request, RequestClass, Settings
from meadowpulley.ledger import Incarnation
from meadowpulley.takeover import adoption
from meadowpulley.takeover.claim import Claim
from meadowpulley.takeover.journaled_request import JournaledRequest
from meadowpulley.takeover.messages import ClientRequest
from meadowpulley.takeover.records import MAX_DURATION_MS, RECORD_FORMAT, Origin, RequestContent


@dataclass(frozen=True, slots=True)
class EntryFactory:
    """Creates the journal entries of one incarnation.

    Records identify classes and tenants by name, the policy by index; the factory converts between them.
    """

    classes: tuple[RequestClass, ...]
    tenant_names: tuple[str, ...]
    incarnation: Incarnation

    @classmethod
    def of_gateway(cls, gateway_settings: Settings, incarnation: Incarnation) -> Self:
        """Create the factory from the settings of a gateway."""
        tenant_names = tuple(tenant.name for tenant in gateway_settings.tenants)
        return cls(gateway_settings.classes, tenant_names, incarnation)

    def from_client(self, event: ClientRequest, digest: bytes, sequence: int, now: float) -> JournaledRequest:
        """Create the entry of a request that a client has just sent."""
        request = event.request
        return JournaledRequest(
            request=request,
            request_id=event.request_id,
            request_class=self.classes[request.class_index],
            tenant_name=self._tenant_name(request.tenant),
            content=RequestContent(RECORD_FORMAT, event.method, event.target, event.headers, event.body),
            digest=digest,
            sequence=sequence,
            origin=Origin(str(self.incarnation), sequence),
            received_at_ms=now,
        )

    def from_claim(self, handle: int, claim: Claim, content: RequestContent) -> JournaledRequest:
        """Create the entry of a claimed orphan that has been given the slot `handle`."""
        record = claim.observed.record
        request = self._adopted_request(handle, claim)
        return JournaledRequest(
            request=request,
            request_id=claim.observed.request_id,
            request_class=self.classes[request.class_index],
            tenant_name=record.tenant_name,
            content=content,
            digest=record.digest,
            sequence=claim.sequence,
            origin=record.origin,
            received_at_ms=max(claim.observed.not_before_ms - record.elapsed_ms, -MAX_DURATION_MS),
            owner_count=record.owner_count + 1,
            record_version=claim.record_version,
            content_version=claim.content_version,
            inherited_grants=claim.grants,
            attempt_count=record.attempt_count,
            has_client=False,
        )

    def _tenant_name(self, tenant_index: int) -> str:
        """Return the name of a tenant; empty if the tenant is unknown."""
        if tenant_index >= len(self.tenant_names):
            return ""
        return self.tenant_names[tenant_index]

    def _adopted_request(self, handle: int, claim: Claim) -> Request:
        record = claim.observed.record
        return Request(
            handle,
            self._class_index(record.class_name),
            self._tenant_index(record.tenant_name),
            record.key,
            claim.deadline_ms,
            record.expected_work_ms,
            write=record.write,
            adopted=True,
            prior_attempt_count=record.attempt_count,
            prior_attempts=adoption.prior_attempts(claim.observed),
            arm=record.arm,
        )

    def _class_index(self, class_name: str) -> int:
        """Return the index of a class, which is known because orphans of other classes are not adopted."""
        names = [request_class.name for request_class in self.classes]
        return names.index(class_name)

    def _tenant_index(self, tenant_name: str) -> int:
        """Return the index of a tenant; for an unknown tenant, return the number of tenants."""
        if tenant_name not in self.tenant_names:
            return len(self.tenant_names)
        return self.tenant_names.index(tenant_name)
