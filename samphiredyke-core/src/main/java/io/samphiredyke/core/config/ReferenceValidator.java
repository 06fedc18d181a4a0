package io.samphiredyke.core.config;

import io.samphiredyke.core.config.Finding.Code;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks items against one another: references exist, and values that must be unique are so. */
public final class ReferenceValidator {

  private final Map<ItemKey, Item> items;
  private final List<Finding> findings = new ArrayList<>();

  private ReferenceValidator(Map<ItemKey, Item> items) {
    this.items = items;
  }

  /**
   * Returns every broken reference and duplicate of a set of items.
   *
   * @param items all items that are to be in force together, in key order
   */
  public static List<Finding> check(Map<ItemKey, Item> items) {
    ReferenceValidator checks = new ReferenceValidator(items);
    items.values().forEach(checks::checkReferences);
    checks.checkUnique(items.values());
    return checks.findings;
  }

  private void checkReferences(Item item) {
    if (item instanceof Service service) {
      exists(item, "tier", ItemKind.TIER, Set.of(service.tier()));
      exists(item, "dataCentres", ItemKind.DATA_CENTRE, service.dataCentres());
      exists(item, "customers", ItemKind.CUSTOMER, service.customers());
    } else if (item instanceof Endpoint endpoint) {
      exists(item, "dataCentre", ItemKind.DATA_CENTRE, Set.of(endpoint.dataCentre()));
      exists(item, "services", ItemKind.SERVICE, endpoint.services());
    } else if (item instanceof Placement placement) {
      exists(item, "endpoint", ItemKind.ENDPOINT, Set.of(placement.endpoint()));
    }
  }

  private void exists(Item item, String field, ItemKind kind, Set<String> names) {
    for (String name : names) {
      ItemKey key = new ItemKey(kind, name);
      if (!items.containsKey(key)) {
        findings.add(
            new Finding(
                item.key(), field, Code.MISSING_REFERENCE, "there is no " + key + suggestion(key)));
      }
    }
  }

  private String suggestion(ItemKey missing) {
    return NameSuggestions.closest(
            missing.name(),
            items.keySet().stream()
                .filter(key -> key.kind() == missing.kind())
                .map(ItemKey::name)
                .toList())
        .map(name -> "; did you mean '" + name + "'?")
        .orElse("");
  }

  private void checkUnique(Collection<Item> all) {
    Map<String, Item> seen = new HashMap<>();
    for (Item item : all) {
      if (item instanceof Tier tier) {
        unique(seen, item, "rank", "rank " + tier.rank());
      } else if (item instanceof Endpoint endpoint) {
        unique(seen, item, "address", "address " + endpoint.address());
      } else if (item instanceof Customer customer) {
        for (String digest : customer.keyDigests()) {
          unique(seen, item, "keyDigests", "key digest " + digest);
        }
      }
    }
  }

  private void unique(Map<String, Item> seen, Item item, String field, String value) {
    Item other = seen.putIfAbsent(value, item);
    if (other != null) {
      findings.add(
          new Finding(
              item.key(), field, Code.DUPLICATE, value + " is already used by " + other.key()));
    }
  }
}
